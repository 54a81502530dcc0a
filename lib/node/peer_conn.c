/* Connections of the peer task: handshake, reading and writing. */
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "peer_task_internal.h"

/* Time-out of a handshake, from connect() to the hello of the other side. */
#define HANDSHAKE_MS 1500
/* TCP closes a connection whose sent data is unacknowledged this long. */
#define USER_TIMEOUT_MS 5000
#define READ_BYTES 65536
#define READS_PER_EVENT 8
/* Larger than a whole catalogue; a peer with a longer queue is too slow. */
#define QUEUE_MAX_BYTES ((size_t)4 * 1024 * 1024)

static void on_readable(struct ev_loop *ev, ev_io *w, int revents);
static void on_writable(struct ev_loop *ev, ev_io *w, int revents);
static void on_deadline(struct ld_timer *timer, uint64_t now_ms);

/* ---- Connections ---- */

struct peer_conn *
peer_conn_new(struct ld_peer_task *t, int fd, bool dialled)
{
	struct peer_conn *c = ld_alloc(sizeof(*c));
	unsigned int timeout = USER_TIMEOUT_MS;
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
	c->task = t;
	c->fd = fd;
	c->dialled = dialled;
	c->session =
	    ld_wire_session_new(dialled ? LD_WIRE_DIALER : LD_WIRE_ACCEPTOR,
		ld_buf_str(&t->key), &t->rand);
	ld_wire_hello(c->session, ld_fifo_tail(&c->out));
	ev_io_init(&c->reader, on_readable, fd, EV_READ);
	ev_io_init(&c->writer, on_writable, fd, EV_WRITE);
	c->reader.data = c;
	c->writer.data = c;
	c->deadline.fn = on_deadline;
	ld_timer_start(ld_loop_timers(t->loop), &c->deadline,
	    ld_loop_now(t->loop) + HANDSHAKE_MS);
	c->next = t->conns;
	t->conns = c;
	t->conn_count++;
	return c;
}

struct peer_conn *
peer_conn_find(const struct ld_peer_task *t, uint32_t link)
{
	for (struct peer_conn *c = t->conns; c != NULL; c = c->next) {
		if (c->fd >= 0 && c->link == link)
			return c;
	}
	return NULL;
}

void
peer_conn_close(struct peer_conn *c)
{
	struct ev_loop *ev = ld_loop_ev(c->task->loop);

	if (c->fd < 0)
		return;
	ev_io_stop(ev, &c->reader);
	ev_io_stop(ev, &c->writer);
	ld_timer_stop(ld_loop_timers(c->task->loop), &c->deadline);
	close(c->fd);
	c->fd = -1;
}

/* Closes a connection and reports it to lib/peers. */
static void
conn_lost(struct peer_conn *c)
{
	struct ld_peer_task *t = c->task;

	if (c->fd < 0)
		return;
	peer_conn_close(c);
	if (c->link != 0)
		ld_peers_closed(t->peers, ld_loop_now(t->loop), c->link);
}

void
peer_conns_reap(struct ld_peer_task *t)
{
	struct peer_conn **at = &t->conns;

	while (*at != NULL) {
		struct peer_conn *c = *at;

		if (c->fd >= 0) {
			at = &c->next;
			continue;
		}
		*at = c->next;
		t->conn_count--;
		ld_wire_session_free(c->session);
		ld_fifo_free(&c->in);
		ld_fifo_free(&c->out);
		free(c);
	}
}

static void
on_deadline(struct ld_timer *timer, uint64_t now_ms)
{
	struct peer_conn *c = (struct peer_conn *)((char *)timer -
	    offsetof(struct peer_conn, deadline));
	struct ld_peer_task *t = c->task;

	t->counters.handshake_timeouts++;
	conn_lost(c);
	peer_task_perform_actions(t);
}

/* ---- Writing ---- */

static void
write_out(struct peer_conn *c)
{
	struct ev_loop *ev = ld_loop_ev(c->task->loop);

	while (ld_fifo_len(&c->out) > 0) {
		struct ld_str queued = ld_fifo_str(&c->out);
		ssize_t n = send(c->fd, queued.p, queued.len, MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
			ev_io_start(ev, &c->writer);
			return;
		}
		if (n < 0) {
			conn_lost(c);
			return;
		}
		ld_fifo_consume(&c->out, (size_t)n);
		c->task->counters.bytes_out += (uint64_t)n;
	}
	ev_io_stop(ev, &c->writer);
	ld_fifo_reset(&c->out);
}

void
peer_conns_flush(struct ld_peer_task *t)
{
	for (struct peer_conn *c = t->conns; c != NULL; c = c->next) {
		if (c->fd < 0 || c->state == CONN_CONNECTING ||
		    ld_fifo_len(&c->out) == 0 || ev_is_active(&c->writer))
			continue;
		write_out(c);
	}
}

void
peer_conn_send(struct peer_conn *c, struct ld_str payload)
{
	if (ld_fifo_len(&c->out) + payload.len > QUEUE_MAX_BYTES) {
		c->task->counters.slow_closed++;
		ld_log(LD_LOG_WARNING, "peers",
		    "a slow peer's output queue is full, closing its link");
		conn_lost(c);
		return;
	}
	if (ld_wire_seal(c->session, payload, ld_fifo_tail(&c->out)) == LD_OK)
		c->task->counters.frames_out++;
}

static bool
finish_connect(struct peer_conn *c)
{
	int error = 0;
	socklen_t len = sizeof(error);

	if (getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0 ||
	    error != 0)
		return false;
	c->state = CONN_HELLO;
	ev_io_start(ld_loop_ev(c->task->loop), &c->reader);
	return true;
}

static void
on_writable(struct ev_loop *ev, ev_io *w, int revents)
{
	struct peer_conn *c = w->data;
	struct ld_peer_task *t = c->task;

	if (c->state == CONN_CONNECTING && !finish_connect(c))
		conn_lost(c);
	else
		write_out(c);
	peer_task_perform_actions(t);
}

/* ---- Reading ---- */

static void
count_refused_frame(struct ld_peer_task *t, enum ld_status st)
{
	if (st == LD_E_AUTH)
		t->counters.refused_auth++;
	else if (st == LD_E_REPLAY)
		t->counters.refused_replay++;
	else
		t->counters.refused_protocol++;
	ld_log(LD_LOG_WARNING, "peers", "frame refused: %s: %s",
	    ld_status_name(st), ld_last_message());
}

static void
handshake_done(struct peer_conn *c)
{
	struct ld_peer_task *t = c->task;
	uint64_t now = ld_loop_now(t->loop);

	c->state = CONN_OPEN;
	ld_timer_stop(ld_loop_timers(t->loop), &c->deadline);
	if (c->dialled)
		ld_peers_connected(t->peers, now, c->link);
	else
		c->link = ld_peers_accepted(t->peers, now);
}

/* Passes all complete frames received so far to lib/peers. */
static void
process_frames(struct peer_conn *c)
{
	struct ld_peer_task *t = c->task;

	while (c->fd >= 0) {
		enum ld_status st =
		    ld_wire_open(c->session, &c->in, &t->payload);

		if (c->state == CONN_HELLO && ld_wire_ready(c->session))
			handshake_done(c);
		if (st == LD_E_AGAIN)
			return;
		if (st != LD_OK) {
			count_refused_frame(t, st);
			conn_lost(c);
			return;
		}
		t->counters.frames_in++;
		ld_peers_message(t->peers, ld_loop_now(t->loop), c->link,
		    ld_buf_str(&t->payload));
	}
}

/* Return: true if more data may be available. */
static bool
read_chunk(struct peer_conn *c)
{
	struct ld_buf *in = ld_fifo_tail(&c->in);
	ssize_t n;

	ld_buf_reserve(in, READ_BYTES);
	n = recv(c->fd, in->p + in->len, READ_BYTES, 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return false;
	if (n <= 0) {
		if (c->state == CONN_OPEN && ld_fifo_len(&c->in) > 0)
			c->task->counters.refused_protocol++;
		conn_lost(c);
		return false;
	}
	in->len += (size_t)n;
	c->task->counters.bytes_in += (uint64_t)n;
	process_frames(c);
	return n == READ_BYTES && c->fd >= 0;
}

static void
on_readable(struct ev_loop *ev, ev_io *w, int revents)
{
	struct peer_conn *c = w->data;
	struct ld_peer_task *t = c->task;

	for (int i = 0; i < READS_PER_EVENT; i++) {
		if (!read_chunk(c))
			break;
	}
	if (ld_fifo_len(&c->in) == 0)
		ld_fifo_free(&c->in);
	peer_task_perform_actions(t);
}
