/* TCP proxy for fault injection: forwards, delays, cuts or stalls bytes. */
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ld_standin.h"

#define READ_BYTES 65536
#define HELD_MAX_BYTES (1U << 20)
#define BACKLOG 1024

/* struct chunk - received bytes, to be written when due */
struct chunk {
	struct chunk *next;
	uint64_t due_ms;
	struct ld_buf bytes; /* empty: the end of the stream */
};

struct pair;

/* struct half - one direction of a connection */
struct half {
	struct pair *pair;
	int from;
	int to;
	ev_io readable;
	ev_io writable;
	struct ld_timer timer;
	struct chunk *head;
	struct chunk **tail;
	size_t held;
	bool ended;
};

/* struct pair - an accepted connection and its upstream connection */
struct pair {
	struct pair *next;
	struct half up;
	struct half down;
	bool silent;
	bool dead; /* freed on the next turn */
};

static struct {
	struct ld_loop *loop;
	struct sockaddr_in to;
	int listener;
	ev_io accepting;
	struct pair *pairs;
	struct si_fault mode;
	bool silent_all; /* also applies to new connections */
	uint64_t accepted;
	struct ld_timer reaper;
} fwd;

static bool
parse_address(const char *text, struct sockaddr_in *out)
{
	char host[INET_ADDRSTRLEN];
	const char *colon = text != NULL ? strrchr(text, ':') : NULL;

	if (colon == NULL || (size_t)(colon - text) >= sizeof(host))
		return false;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	*out = (struct sockaddr_in){
	    .sin_family = AF_INET,
	    .sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10)),
	};
	return inet_pton(AF_INET, host, &out->sin_addr) == 1;
}

/* ---- Closing ---- */

static void
stop_half(struct half *h)
{
	ev_io_stop(ld_loop_ev(fwd.loop), &h->readable);
	ev_io_stop(ld_loop_ev(fwd.loop), &h->writable);
	ld_timer_stop(ld_loop_timers(fwd.loop), &h->timer);
}

static void
free_chunk(struct half *h)
{
	struct chunk *c = h->head;

	h->head = c->next;
	if (h->head == NULL)
		h->tail = &h->head;
	h->held -= c->bytes.len;
	ld_buf_free(&c->bytes);
	free(c);
}

static void
kill_pair(struct pair *p)
{
	if (p->dead)
		return;
	p->dead = true;
	stop_half(&p->up);
	stop_half(&p->down);
	close(p->up.from);
	close(p->up.to);
	ld_timer_after(ld_loop_timers(fwd.loop), &fwd.reaper, 0);
}

static void
on_reap(struct ld_timer *t, uint64_t now_ms)
{
	struct pair **link = &fwd.pairs;

	while (*link != NULL) {
		struct pair *p = *link;

		if (!p->dead) {
			link = &p->next;
			continue;
		}
		*link = p->next;
		while (p->up.head != NULL)
			free_chunk(&p->up);
		while (p->down.head != NULL)
			free_chunk(&p->down);
		free(p);
	}
}

/* ---- Forwarding ---- */

static void
arm(struct half *h)
{
	struct ev_loop *ev = ld_loop_ev(fwd.loop);

	if (h->pair->dead)
		return;
	if (h->pair->silent || h->ended || h->held > HELD_MAX_BYTES)
		ev_io_stop(ev, &h->readable);
	else
		ev_io_start(ev, &h->readable);
	ev_io_stop(ev, &h->writable);
	if (h->pair->silent || h->head == NULL)
		return;
	if (h->head->due_ms > ld_loop_now(fwd.loop))
		ld_timer_start(
		    ld_loop_timers(fwd.loop), &h->timer, h->head->due_ms);
	else
		ev_io_start(ev, &h->writable);
}

static void
end_half(struct half *h)
{
	struct pair *p = h->pair;

	shutdown(h->to, SHUT_WR);
	free_chunk(h);
	if (p->up.ended && p->down.ended && p->up.head == NULL &&
	    p->down.head == NULL)
		kill_pair(p);
}

static void
on_writable(struct ev_loop *ev, ev_io *w, int revents)
{
	struct half *h = w->data;
	struct chunk *c = h->head;
	ssize_t n;

	if (c->bytes.len == 0) {
		end_half(h);
		arm(h);
		return;
	}
	n = send(h->to, c->bytes.p, c->bytes.len, MSG_NOSIGNAL);
	if (n < 0 && errno != EAGAIN) {
		kill_pair(h->pair);
		return;
	}
	if (n > 0) {
		ld_buf_consume(&c->bytes, (size_t)n);
		h->held -= (size_t)n;
		if (c->bytes.len == 0)
			free_chunk(h);
	}
	arm(h);
}

static void
hold(struct half *h, const char *p, size_t n)
{
	struct chunk *c = ld_alloc(sizeof(*c));

	c->due_ms = ld_loop_now(fwd.loop);
	if (si_fault_is(&fwd.mode, "delay"))
		c->due_ms += fwd.mode.ms;
	ld_buf_add(&c->bytes, p, n);
	h->held += n;
	*h->tail = c;
	h->tail = &c->next;
}

static void
on_readable(struct ev_loop *ev, ev_io *w, int revents)
{
	struct half *h = w->data;
	static char bytes[READ_BYTES];
	ssize_t n = recv(h->from, bytes, sizeof(bytes), 0);

	if (n < 0 && errno == EAGAIN)
		return;
	if (n < 0) {
		kill_pair(h->pair);
		return;
	}
	if (n == 0)
		h->ended = true;
	hold(h, bytes, (size_t)n);
	arm(h);
}

static void
on_due(struct ld_timer *t, uint64_t now_ms)
{
	arm((struct half *)((char *)t - offsetof(struct half, timer)));
}

/* ---- Connections ---- */

static void
init_half(struct half *h, struct pair *p, int from, int to)
{
	h->pair = p;
	h->from = from;
	h->to = to;
	h->tail = &h->head;
	h->timer.fn = on_due;
	ev_io_init(&h->readable, on_readable, from, EV_READ);
	ev_io_init(&h->writable, on_writable, to, EV_WRITE);
	h->readable.data = h;
	h->writable.data = h;
}

static void
on_accept(struct ev_loop *ev, ev_io *w, int revents)
{
	int one = 1;
	int in =
	    accept4(fwd.listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	int out;
	struct pair *p;

	if (in < 0)
		return;
	fwd.accepted++;
	out = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (si_fault_is(&fwd.mode, "cut") || out < 0 ||
	    (connect(out, (struct sockaddr *)&fwd.to, sizeof(fwd.to)) != 0 &&
		errno != EINPROGRESS)) {
		close(in);
		if (out >= 0)
			close(out);
		return;
	}
	setsockopt(in, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(out, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	p = ld_alloc(sizeof(*p));
	p->silent = fwd.silent_all;
	init_half(&p->up, p, in, out);
	init_half(&p->down, p, out, in);
	p->next = fwd.pairs;
	fwd.pairs = p;
	arm(&p->up);
	arm(&p->down);
}

/* ---- Control ---- */

/* "silent" affects existing connections; "silent-all" also new ones. */
static void
set_mode(struct si_req *r)
{
	bool silent;

	if (!si_fault_set(&fwd.mode, r))
		return;
	fwd.silent_all = si_fault_is(&fwd.mode, "silent-all");
	silent = fwd.silent_all || si_fault_is(&fwd.mode, "silent");
	for (struct pair *p = fwd.pairs; p != NULL; p = p->next) {
		if (si_fault_is(&fwd.mode, "cut"))
			kill_pair(p);
		p->silent = silent;
		arm(&p->up);
		arm(&p->down);
	}
}

static void
handle(struct si_req *r)
{
	if (si_is(r, "POST", "/mode"))
		set_mode(r);
	else if (si_is(r, "GET", "/stats"))
		si_answer_json(r, 200,
		    json_pack("{s:I}", "accepted", (json_int_t)fwd.accepted),
		    0);
	else
		si_answer_error(r, 404, "no such path");
}

static bool
listen_on(const struct sockaddr_in *at)
{
	int one = 1;

	fwd.listener =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fwd.listener < 0)
		return false;
	setsockopt(fwd.listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	return bind(fwd.listener, (const struct sockaddr *)at, sizeof(*at)) ==
	    0 &&
	    listen(fwd.listener, BACKLOG) == 0;
}

bool
si_forward_start(struct ld_loop *loop, const struct si_options *o)
{
	static const struct si_ops ops = {handle, NULL};
	struct sockaddr_in at;

	fwd.loop = loop;
	fwd.reaper.fn = on_reap;
	if (!parse_address(o->listen, &at) || !parse_address(o->to, &fwd.to)) {
		ld_log(
		    LD_LOG_ERR, "standin", "--listen and --to must be IP:PORT");
		return false;
	}
	if (!listen_on(&at)) {
		ld_log(LD_LOG_ERR, "standin", "can't listen on %s: %s",
		    o->listen, strerror(errno));
		return false;
	}
	ev_io_init(&fwd.accepting, on_accept, fwd.listener, EV_READ);
	ev_io_start(ld_loop_ev(loop), &fwd.accepting);
	return si_serve(loop, o->address, o->control, &ops) != NULL;
}
