/*
 * Closing of connections: what was written is sent before a reset can discard
 * it (RFC 9112, 9.6).
 */
#include <errno.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry_internal.h"

/* Until a client that reads nothing more is reset, ms. */
#define LINGER_MS 2000
#define LINGERING_MAX 1024
#define DISCARD_BYTES 4096
/* A client that sends without end must not hold the loop. */
#define DISCARD_READS_MAX 64

/** struct lingering - a connection that libmicrohttpd has closed */
struct lingering {
	struct lingering *next;
	struct lingering **link;
	struct ld_listener *listener;
	ev_io io;
	struct ld_timer timer;
};

/* Returns false when the client has closed the connection. */
static bool
discard_unread(int fd)
{
	char bytes[DISCARD_BYTES];
	ssize_t n = 1;

	for (int i = 0; i < DISCARD_READS_MAX && n > 0; i++)
		n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
	return n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR));
}

/* The FIN counts as one byte. */
static bool
has_unsent(int fd)
{
	int bytes = 0;

	return ioctl(fd, SIOCOUTQ, &bytes) == 0 && bytes > 1;
}

static void
finish(struct lingering *l)
{
	struct ld_listener *e = l->listener;

	ev_io_stop(ld_loop_ev(e->loop), &l->io);
	ld_timer_stop(ld_loop_timers(e->loop), &l->timer);
	(void)discard_unread(l->io.fd);
	close(l->io.fd);
	*l->link = l->next;
	if (l->next != NULL)
		l->next->link = l->link;
	e->lingering_count--;
	free(l);
}

static void
on_readable(struct ev_loop *ev, ev_io *io, int revents)
{
	if (!discard_unread(io->fd))
		finish(io->data);
}

static void
on_timeout(struct ld_timer *t, uint64_t now_ms)
{
	finish((
	    struct lingering *)((char *)t - offsetof(struct lingering, timer)));
}

void
linger(struct ld_listener *e, int fd)
{
	struct lingering *l;
	int copy;

	(void)discard_unread(fd);
	if (e->lingering_count == LINGERING_MAX || e->freeing ||
	    !has_unsent(fd))
		return;
	copy = fcntl(fd, F_DUPFD_CLOEXEC, 0);
	if (copy < 0)
		return;
	shutdown(copy, SHUT_WR);
	l = ld_alloc(sizeof(*l));
	l->listener = e;
	l->next = e->lingering;
	l->link = &e->lingering;
	if (l->next != NULL)
		l->next->link = &l->next;
	e->lingering = l;
	e->lingering_count++;
	ev_io_init(&l->io, on_readable, copy, EV_READ);
	l->io.data = l;
	ev_io_start(ld_loop_ev(e->loop), &l->io);
	l->timer.fn = on_timeout;
	ld_timer_after(ld_loop_timers(e->loop), &l->timer, LINGER_MS);
}

void
linger_end(struct ld_listener *e)
{
	struct lingering *next;

	for (struct lingering *l = e->lingering; l != NULL; l = next) {
		next = l->next;
		finish(l);
	}
}
