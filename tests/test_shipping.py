"""Where the shipped file unpacks."""

from heatherdyke.shipped_main import memory_mounts


class TestMemoryMounts:
    def test_only_memory_file_systems_among_the_candidates(self):
        mounts = [
            "/dev/sda1 / ext4 rw 0 0",
            "/dev/sda2 /tmp ext4 rw 0 0",
            "tmpfs /dev/shm tmpfs rw 0 0",
            "tmpfs /run tmpfs rw 0 0",
            "tmpfs /srv tmpfs rw 0 0",
        ]
        assert memory_mounts(mounts) == ["/run", "/dev/shm"]

    def test_the_last_mount_at_a_point_counts(self):
        mounts = ["tmpfs /run tmpfs rw 0 0", "/dev/sda1 /run ext4 rw 0 0"]
        assert memory_mounts(mounts) == []
