"""Answers requests that are refused, and logs why."""

from heatherdyke.gateway.events import REQUEST_REFUSED
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.refusal import Refusal
from heatherdyke.gateway.refusal import RefusalReason
from heatherdyke.gateway.refusal import make_quarantine_refusal
from heatherdyke.gateway.shared_state import SharedState


def send_refusal(
    shared: SharedState,
    exchange: Exchange,
    route: str,
    reason: RefusalReason,
    refusal: Refusal,
    inputs: str,
) -> None:
    """Answer with a refusal; ``inputs`` is what decided it, for the log."""
    retry_after_s = refusal.retry_after_s
    if retry_after_s is not None:
        retry_after_s = round(retry_after_s, 3)
    exchange.answer(refusal.answer)
    shared.metrics.count("answers", str(refusal.answer.status))
    shared.log.record(
        REQUEST_REFUSED,
        request_id=exchange.request.id_text,
        route=route,
        status=refusal.answer.status,
        why=reason.value,
        retry_after_s=retry_after_s,
        version=shared.config_version,
        inputs=inputs,
    )


def refuse_quarantined(
    shared: SharedState, exchange: Exchange, route: str
) -> None:
    """Refuse a quarantined request, which has not been sent to a leaf."""
    entry = shared.crash_guard.entry_of(exchange.request)
    now = shared.loop.time()
    verdict = entry.to_verdict(now)
    refusal = make_quarantine_refusal(entry.retry_after_s(now), shared.random)
    send_refusal(
        shared,
        exchange,
        route,
        RefusalReason.QUARANTINED,
        refusal,
        f"request {verdict.key} crashed {verdict.crashes} leafs in "
        f"{verdict.attempts} attempts, decided by {verdict.decided_by} "
        f"{verdict.age_s:.1f} s ago; {entry.refused} refused here",
    )
