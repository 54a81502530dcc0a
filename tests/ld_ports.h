/* Ports and keys that no other test process uses at the same time. */
#ifndef LD_PORTS_H
#define LD_PORTS_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* Below the ports that the kernel gives to outgoing connections, so that a
 * program can take its port again after a restart. */
#define LD_PORTS_FIRST 10240
#define LD_PORTS_LAST 32703
#define LD_PORTS_BLOCK 64
#define LD_PORTS_BLOCKS ((LD_PORTS_LAST - LD_PORTS_FIRST) / LD_PORTS_BLOCK)

/*
 * Locks a block of ports until this process and its children have ended; the
 * descriptor stays open.
 *
 * Return: its first port.
 */
static inline uint16_t
ld_ports_lock_block(void)
{
	unsigned int start = (unsigned int)getpid();
	char path[64];

	for (unsigned int i = 0; i < LD_PORTS_BLOCKS; i++) {
		unsigned int block = (start + i) % LD_PORTS_BLOCKS;
		int fd;

		snprintf(path, sizeof(path), "/tmp/ld_test_ports_%u", block);
		fd = open(path, O_CREAT | O_RDWR | O_CLOEXEC, 0666);
		if (fd < 0)
			continue;
		if (flock(fd, LOCK_EX | LOCK_NB) == 0)
			return (
			    uint16_t)(LD_PORTS_FIRST + block * LD_PORTS_BLOCK);
		close(fd);
	}
	fprintf(stderr, "all blocks of test ports are in use\n");
	abort();
}

static inline int
ld_ports_can_bind(uint16_t port, int type)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0), one = 1, ok;

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	ok = bind(fd, (struct sockaddr *)&a, sizeof(a)) == 0;
	close(fd);
	return ok;
}

/** ld_free_port() - a port of 127.0.0.1 for TCP and UDP, this process's alone */
static inline uint16_t
ld_free_port(void)
{
	static uint16_t next, end;

	for (;;) {
		if (next == end) {
			next = ld_ports_lock_block();
			end = (uint16_t)(next + LD_PORTS_BLOCK);
		}
		if (ld_ports_can_bind(next, SOCK_STREAM) &&
		    ld_ports_can_bind(next, SOCK_DGRAM))
			return next++;
		next++;
	}
}

/** ld_free_address() - "127.0.0.1:PORT" with such a port */
static inline void
ld_free_address(char out[32])
{
	snprintf(out, 32, "127.0.0.1:%u", ld_free_port());
}

#define LD_RUN_KEY_BYTES 48

/**
 * ld_run_key() - a key of this run for the frames between its nodes; to be called
 * before the first fork()
 */
static inline const char *
ld_run_key(void)
{
	static char key[LD_RUN_KEY_BYTES];

	if (key[0] == '\0')
		snprintf(key, sizeof(key), "test-%016llx-%016llx",
		    (unsigned long long)getpid(),
		    (unsigned long long)time(NULL));
	return key;
}

#endif
