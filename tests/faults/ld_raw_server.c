/* A server that writes scripted bytes. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ld_raw_server.h"
#include "ld_test.h"

static void
drop_pending(struct raw_connection *c)
{
	for (size_t i = 0; i < RAW_PENDING_MAX; i++) {
		ld_timer_stop(
		    ld_loop_timers(c->server->loop), &c->pending[i].timer);
		c->pending[i].connection = NULL;
	}
}

static void
close_connection(struct raw_connection *c, bool reset)
{
	struct raw_server *s = c->server;
	struct linger now = {.l_onoff = 1, .l_linger = 0};

	drop_pending(c);
	if (c->repeated != NULL) {
		ld_timer_stop(ld_loop_timers(s->loop), &c->endless);
		s->endless--;
	}
	if (reset)
		setsockopt(c->io.fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	ev_io_stop(ld_loop_ev(s->loop), &c->io);
	close(c->io.fd);
	c->server = NULL;
}

static void
on_endless(struct ld_timer *t, uint64_t now_ms)
{
	static char burst[RAW_BURST_BYTES];
	struct raw_connection *c = (struct raw_connection *)((char *)t -
	    offsetof(struct raw_connection, endless));
	size_t unit = strlen(c->repeated), n = 0;
	ssize_t sent;

	/* Whole units, so that any socket may take a part of the bytes. */
	for (; n + unit <= sizeof(burst); n += unit)
		memcpy(burst + n, c->repeated, unit);
	sent = send(c->io.fd, burst + c->burst_offset, n - c->burst_offset,
	    MSG_NOSIGNAL | MSG_DONTWAIT);
	if (sent < 0 && errno != EAGAIN) {
		close_connection(c, false);
		return;
	}
	ld_timer_after(ld_loop_timers(c->server->loop), t, RAW_BURST_MS);
	if (sent < 0)
		return;
	c->burst_offset = (c->burst_offset + (size_t)sent) % unit;
	c->endless_bytes += (size_t)sent;
	if (c->endless_bytes > c->server->endless_bytes)
		c->server->endless_bytes = c->endless_bytes;
}

static void
start_endless(struct raw_connection *c, const char *bytes)
{
	c->repeated = bytes;
	c->server->endless++;
	c->endless.fn = on_endless;
	ld_timer_after(ld_loop_timers(c->server->loop), &c->endless, 0);
}

static void
run_step(struct raw_connection *c, const struct raw_step *step)
{
	size_t n = strlen(step->bytes);

	if (step->end == RAW_ENDLESS) {
		start_endless(c, step->bytes);
		return;
	}
	/* The peer may have closed: the step then has no effect. */
	(void)send(c->io.fd, step->bytes, n, MSG_NOSIGNAL | MSG_DONTWAIT);
	if (step->end != RAW_KEEP)
		close_connection(c, step->end == RAW_RESET);
}

static void
on_step_due(struct ld_timer *t, uint64_t now_ms)
{
	struct raw_pending *p = (struct raw_pending *)((char *)t -
	    offsetof(struct raw_pending, timer));
	struct raw_connection *c = p->connection;

	p->connection = NULL;
	run_step(c, p->step);
}

static void
schedule_step(struct raw_connection *c, const struct raw_step *step)
{
	struct raw_pending *p = c->pending;

	while (p->connection != NULL)
		p++;
	CU_ASSERT_FATAL(p < c->pending + RAW_PENDING_MAX);
	p->connection = c;
	p->step = step;
	p->timer.fn = on_step_due;
	ld_timer_after(
	    ld_loop_timers(c->server->loop), &p->timer, step->after_ms);
}

/* A node that checks whether the server's process has ended. */
static bool
is_probe(const struct raw_connection *c)
{
	static const char probe[] = "GET /lavenderdrift/report ";

	return strncmp(c->request, probe, strlen(probe)) == 0;
}

static void
answer_probe(struct raw_connection *c)
{
	static const char answer[] =
	    "HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n";

	c->server->probes++;
	(void)send(
	    c->io.fd, answer, strlen(answer), MSG_NOSIGNAL | MSG_DONTWAIT);
}

static void
answer_request(struct raw_connection *c)
{
	struct raw_server *s = c->server;
	unsigned int number = s->requests++, last = 0;
	const struct raw_step *step;

	for (step = s->script; step->bytes != NULL; step++)
		last = step->request;
	if (number > last)
		number = last;
	for (step = s->script; step->bytes != NULL; step++) {
		if (step->request != number)
			continue;
		if (step->after_ms > 0)
			schedule_step(c, step);
		else
			run_step(c, step);
		if (c->server == NULL)
			return;
	}
}

/* Length of the first whole request received, 0 for none. */
static size_t
whole_request(const struct raw_connection *c)
{
	const char *end = strstr(c->request, "\r\n\r\n");
	const char *length = strcasestr(c->request, "\r\nContent-Length:");
	size_t n;

	if (end == NULL)
		return 0;
	n = (size_t)(end - c->request) + 4;
	if (length != NULL && length < end)
		n += strtoul(strchr(length, ':') + 1, NULL, 10);
	return n <= c->len ? n : 0;
}

static void
on_readable(struct ev_loop *ev, ev_io *io, int events)
{
	struct raw_connection *c = io->data;
	struct raw_server *s = c->server;
	ssize_t r = recv(io->fd, c->request + c->len,
	    sizeof(c->request) - 1 - c->len, MSG_DONTWAIT);
	size_t n;

	if (r <= 0) {
		close_connection(c, false);
		return;
	}
	c->len += (size_t)r;
	c->request[c->len] = '\0';
	while (c->server != NULL && (n = whole_request(c)) > 0) {
		bool probe = is_probe(c);

		if (!probe) {
			memcpy(s->last_request, c->request, n);
			s->last_request[n] = '\0';
		}
		memmove(c->request, c->request + n, c->len + 1 - n);
		c->len -= n;
		if (probe)
			answer_probe(c);
		else
			answer_request(c);
	}
}

static void
on_connection(struct ev_loop *ev, ev_io *io, int events)
{
	struct raw_server *s = io->data;
	struct raw_connection *c = s->connection;
	int fd = accept(io->fd, NULL, NULL);

	if (fd < 0)
		return;
	while (c < s->connection + RAW_CONNECTIONS_MAX && c->server != NULL)
		c++;
	CU_ASSERT_FATAL(c < s->connection + RAW_CONNECTIONS_MAX);
	s->connections++;
	memset(c, 0, sizeof(*c));
	c->server = s;
	ev_io_init(&c->io, on_readable, fd, EV_READ);
	c->io.data = c;
	ev_io_start(ev, &c->io);
}

void
raw_server_open(struct raw_server *s, struct ld_loop *loop, const char *id)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	socklen_t len = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_FATAL(fd >= 0 && bind(fd, (struct sockaddr *)&a, len) == 0 &&
	    listen(fd, RAW_CONNECTIONS_MAX) == 0 &&
	    getsockname(fd, (struct sockaddr *)&a, &len) == 0);
	snprintf(s->entry.address, sizeof(s->entry.address), "127.0.0.1:%u",
	    ntohs(a.sin_port));
	snprintf(s->entry.id, sizeof(s->entry.id), "%s", id);
	s->loop = loop;
	ev_io_init(&s->accepts, on_connection, fd, EV_READ);
	s->accepts.data = s;
	ev_io_start(ld_loop_ev(loop), &s->accepts);
}

void
raw_server_play(struct raw_server *s, const struct raw_step *script)
{
	for (size_t i = 0; i < RAW_CONNECTIONS_MAX; i++)
		if (s->connection[i].server != NULL)
			drop_pending(&s->connection[i]);
	s->script = script;
	s->requests = 0;
	s->connections = 0;
	s->endless_bytes = 0;
	s->last_request[0] = '\0';
}

void
raw_server_close(struct raw_server *s)
{
	for (size_t i = 0; i < RAW_CONNECTIONS_MAX; i++)
		if (s->connection[i].server != NULL)
			close_connection(&s->connection[i], false);
	ev_io_stop(ld_loop_ev(s->loop), &s->accepts);
	close(s->accepts.fd);
}
