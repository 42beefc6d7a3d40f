"""Ends the tasks of an event loop."""

import asyncio

# Tasks that are cancelled may begin others, which do so in their turn.
MAX_ROUNDS = 20


async def cancel_other_tasks() -> None:
    """Cancel all other tasks, and those that begin meanwhile, until none runs.

    What ``asyncio.run`` finds running it cancels once; a task that begins
    after that is destroyed unfinished.
    """
    own = asyncio.current_task()
    for _ in range(MAX_ROUNDS):
        others = asyncio.all_tasks() - {own}
        if not others:
            return
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
