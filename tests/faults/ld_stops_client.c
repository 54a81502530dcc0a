/* Clients of planned stops, on plain sockets. */
#include <arpa/inet.h>
#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ld_stops.h"

#define THINK_MS 150
/* "Idle for up to four fifths of the last limit." */
#define IDLE_FIFTHS 4
#define RETRY_MS 50
/* The balancer takes a stopped node out after two missed checks, ms. */
#define BALANCER_MS 2200
#define PIECE_BYTES 40
#define PIECE_MS 60
#define BODY_BYTES 200
#define SLOW_READ_BYTES 256
#define SLOW_READ_MS 20
#define SMALL_BUFFER_BYTES 2048
#define START_MS 1500
#define PERCENT 100

static bool
chance(struct stops *s, unsigned int percent)
{
	return ld_rand_below(&s->rand, PERCENT) < percent;
}

static struct stops_plan
draw_plan(struct stops *s)
{
	struct stops_plan p = {0};
	uint64_t whole_ms;

	p.is_resumable = chance(s, 50);
	p.body = (enum stops_body)ld_rand_below(&s->rand, STOPS_BODIES);
	p.has_pipelined = chance(s, 5);
	p.reads_slowly = chance(s, 15);
	p.refusals = chance(s, 15);
	p.resume_refusals = (unsigned int)ld_rand_below(&s->rand, 3);
	p.events = 4 + (unsigned int)ld_rand_below(&s->rand, 30);
	whole_ms = chance(s, 70) ? 300 + ld_rand_below(&s->rand, 1700)
				 : 2000 + ld_rand_below(&s->rand, 5000);
	p.first_ms =
	    chance(s, 20) ? ld_rand_below(&s->rand, 4000) : whole_ms / 10;
	p.every_ms = whole_ms / p.events;
	if (chance(s, 20)) {
		p.pause_at =
		    2 + (unsigned int)ld_rand_below(&s->rand, p.events - 1);
		p.pause_ms = 300 + ld_rand_below(&s->rand, 1200);
	}
	p.deadline_ms = 10000;
	return p;
}

/* ---- Connections ---- */

static void
watch(struct stops_user *u, int events)
{
	struct ev_loop *ev = ld_loop_ev(u->world->loop);

	ev_io_stop(ev, &u->io);
	if (u->fd < 0 || events == 0)
		return;
	ev_io_set(&u->io, u->fd, events);
	ev_io_start(ev, &u->io);
}

static void
disconnect(struct stops_user *u, const char *how)
{
	struct stops_request *waiting[2] = {u->request, u->pipelined};

	watch(u, 0);
	if (u->fd >= 0)
		close(u->fd);
	u->fd = -1;
	u->out.len = u->out_sent = u->in.len = 0;
	u->must_close = false;
	u->request = u->pipelined = NULL;
	u->next_ms = stops_now(u->world) + RETRY_MS;
	for (int i = 0; i < 2; i++)
		if (waiting[i] != NULL)
			waiting[i]->ended = true;
	/* A pipelined request ends with the one before it. */
	if (waiting[0] != NULL && how != NULL)
		stops_judge(u->world, waiting[0], how);
}

static bool
connect_user(struct stops_user *u)
{
	const char *entry = u->world->relays[u->relay].entry;
	struct sockaddr_in a = {.sin_family = AF_INET};
	char host[32];
	int size = SMALL_BUFFER_BYTES;

	snprintf(host, sizeof(host), "%.*s", (int)strcspn(entry, ":"), entry);
	inet_pton(AF_INET, host, &a.sin_addr);
	a.sin_port = htons((uint16_t)strtoul(strchr(entry, ':') + 1, NULL, 10));
	u->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (u->has_small_buffer || chance(u->world, 30))
		setsockopt(u->fd, SOL_SOCKET, SO_RCVBUF, &size,
		    (socklen_t)sizeof(size));
	/* Of the loopback network, so it doesn't wait. */
	if (connect(u->fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
		close(u->fd);
		u->fd = -1;
		return false;
	}
	return true;
}

/* ---- Requests ---- */

static void
add_body(struct ld_buf *b, enum stops_body body)
{
	char block[BODY_BYTES];

	memset(block, 'x', sizeof(block));
	if (body == STOPS_BODY_CHUNKED) {
		ld_buf_printf(b, "%x\r\n", BODY_BYTES / 2);
		ld_buf_add(b, block, BODY_BYTES / 2);
		ld_buf_printf(b, "\r\n%x\r\n", BODY_BYTES / 2);
		ld_buf_add(b, block, BODY_BYTES / 2);
		ld_buf_printf(b, "\r\n0\r\n\r\n");
		return;
	}
	ld_buf_add(b, block, BODY_BYTES);
}

static struct stops_request *
add_request(struct stops_user *u, const struct stops_plan *plan)
{
	struct stops *s = u->world;
	struct stops_request *q;
	char framing[48] = "Transfer-Encoding: chunked";

	if (s->request_count == STOPS_REQUESTS_MAX)
		abort();
	q = &s->requests[s->request_count];
	*q = (struct stops_request){.plan = *plan,
	    .number = s->request_count++,
	    .relay = u->relay,
	    .started_ms = stops_now(s)};
	if (plan->body != STOPS_BODY_CHUNKED)
		snprintf(
		    framing, sizeof(framing), "Content-Length: %d", BODY_BYTES);
	ld_buf_printf(&u->out,
	    "POST /%s/a HTTP/1.1\r\nHost: h\r\n"
	    "X-Attempt-Id: %08x%08x\r\nX-Deadline-Ms: %llu\r\n"
	    "X-Model: m0\r\nX-Token-Count: 100,170\r\n%s\r\n\r\n",
	    plan->is_resumable ? "resumable" : "once",
	    (uint32_t)s->options.seed, q->number,
	    (unsigned long long)plan->deadline_ms, framing);
	add_body(&u->out, plan->body);
	return q;
}

static void
write_out(struct stops_user *u)
{
	uint64_t now = stops_now(u->world);
	size_t n = u->out.len - u->out_sent;
	bool slow = u->request != NULL &&
	    u->request->plan.body == STOPS_BODY_SLOW && u->pipelined == NULL;
	ssize_t sent;

	if (n == 0 || u->fd < 0 || now < u->out_next_ms)
		return;
	if (slow && n > PIECE_BYTES && n <= BODY_BYTES)
		n = PIECE_BYTES;
	else if (slow && n > BODY_BYTES)
		n -= BODY_BYTES;
	sent =
	    send(u->fd, u->out.p + u->out_sent, n, MSG_DONTWAIT | MSG_NOSIGNAL);
	if (sent < 0)
		return; /* the reader sees why */
	u->out_sent += (size_t)sent;
	if (slow)
		u->out_next_ms = now + PIECE_MS;
	if (u->out_sent < u->out.len)
		return;
	u->out.len = u->out_sent = 0;
	if (u->request != NULL)
		u->request->sent_ms = now;
	if (u->pipelined != NULL)
		u->pipelined->sent_ms = now;
}

bool
stops_user_send(struct stops_user *u, const struct stops_plan *plan)
{
	if (u->fd < 0 && !connect_user(u))
		return false;
	u->request = add_request(u, plan);
	if (plan->has_pipelined && plan->body != STOPS_BODY_SLOW)
		u->pipelined = add_request(u, plan);
	u->out_next_ms = 0;
	write_out(u);
	watch(u, EV_READ);
	return true;
}

static void
check_acked(struct stops_user *u)
{
	struct stops_request *q = u->request;
	int left = 0;

	if (q == NULL || q->sent_ms == 0 || q->acked_ms > 0 ||
	    ioctl(u->fd, SIOCOUTQ, &left) != 0 || left > 0)
		return;
	q->acked_ms = stops_now(u->world);
	if (u->pipelined != NULL)
		u->pipelined->acked_ms = q->acked_ms;
}

/* ---- Answers ---- */

/* Length of the whole answer at the start of @in, 0 if it isn't whole yet. */
static size_t
whole_answer(struct ld_buf *in)
{
	const char *text = ld_buf_cstr(in);
	const char *end = strstr(text, "\r\n\r\n");
	const char *length, *last;

	if (end == NULL)
		return 0;
	length = strcasestr(text, "Content-Length:");
	if (length != NULL && length < end) {
		size_t n = (size_t)(end + 4 - text) +
		    strtoul(length + strlen("Content-Length:"), NULL, 10);

		return n <= in->len ? n : 0;
	}
	last = strstr(end + 2, "\r\n0\r\n\r\n");
	return last != NULL ? (size_t)(last + 7 - text) : 0;
}

static void
check_stream(
    struct stops *s, struct stops_request *q, const char *text, size_t n)
{
	char want[32];
	bool last;

	snprintf(
	    want, sizeof(want), "data: %08x-%u ", q->number, q->plan.events);
	last = memmem(text, n, want, strlen(want)) != NULL;
	ld_session_expect(
	    &s->session, last, "a stream that ended as whole is not");
}

/* How long clients leave a connection idle and use it again. */
static uint64_t
max_idle_ms(const struct stops *s)
{
	return s->bounds.idle_ms * IDLE_FIFTHS / 5;
}

static void
take_answer(struct stops_user *u, size_t n)
{
	struct stops *s = u->world;
	struct stops_request *q = u->request;
	const char *text = ld_buf_cstr(&u->in);
	const char *head_end = strstr(text, "\r\n\r\n");
	const char *closes = strcasestr(text, "Connection: close");

	q->ended = true;
	if (strncmp(text, "HTTP/1.1 200", 12) == 0) {
		s->answered++;
		check_stream(s, q, text, n);
	} else {
		s->refused++;
	}
	u->must_close |= closes != NULL && closes < head_end;
	/* The server must not process what follows (RFC 9112, 9.6). */
	if (u->must_close && u->pipelined != NULL) {
		u->pipelined->ended = true;
		u->pipelined = NULL;
	}
	memmove(u->in.p, u->in.p + n, u->in.len - n);
	u->in.len -= n;
	u->request = u->pipelined;
	u->pipelined = NULL;
	u->idle_since_ms = stops_now(s);
	u->next_ms = stops_now(s) + ld_rand_below(&s->rand, THINK_MS);
	/* The next request in the moment of the close. */
	if (chance(s, 30))
		u->next_ms = 0;
	else if (s->options.idles && chance(s, 50))
		u->next_ms = u->idle_since_ms +
		    ld_rand_below(&s->rand, max_idle_ms(s) + 1);
}

static void
count_events(struct stops_user *u)
{
	if (u->request != NULL && u->in.len > 0) {
		unsigned int n = 0;

		for (const char *p = ld_buf_cstr(&u->in);
		     (p = strstr(p, "\ndata: ")) != NULL; p++)
			n++;
		u->request->next_event = n;
	}
}

static void
read_in(struct stops_user *u)
{
	bool slow = u->request != NULL && u->request->plan.reads_slowly;
	char bytes[4096];
	size_t want = slow ? SLOW_READ_BYTES : sizeof(bytes), whole;
	ssize_t n = recv(u->fd, bytes, want, MSG_DONTWAIT);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		count_events(u);
		disconnect(u, n == 0 ? "by a close" : "by a reset");
		return;
	}
	ld_buf_add(&u->in, bytes, (size_t)n);
	while (u->request != NULL && (whole = whole_answer(&u->in)) > 0)
		take_answer(u, whole);
	if (slow && u->request != NULL) {
		watch(u, 0);
		u->next_ms = stops_now(u->world) + SLOW_READ_MS;
	}
}

static void
on_io(struct ev_loop *ev, ev_io *io, int revents)
{
	read_in(io->data);
}

/* ---- Users ---- */

/* New connections reach a relay until the balancer knows that it stops, and
 * again once it has restarted. */
static bool
may_connect(const struct stops_user *u, uint64_t now)
{
	const struct stops_relay *r = &u->world->relays[u->relay];

	if (r->ended_ms > 0 || now < r->started_ms + START_MS)
		return false;
	return r->term_ms < r->started_ms || now < r->term_ms + BALANCER_MS;
}

static void
user_tick(struct stops_user *u, uint64_t now)
{
	struct stops_plan plan;

	if (u->fd >= 0) {
		write_out(u);
		check_acked(u);
	}
	if (u->request != NULL) {
		if (u->fd >= 0 && !ev_is_active(&u->io) && now >= u->next_ms)
			watch(u, EV_READ);
		return;
	}
	if (now < u->next_ms || u->world->calm)
		return;
	if (u->must_close && chance(u->world, 90))
		disconnect(u, NULL);
	if (u->fd >= 0 && u->world->options.idles &&
	    now > u->idle_since_ms + max_idle_ms(u->world))
		disconnect(u, NULL);
	if (u->fd < 0 && !may_connect(u, now))
		return;
	plan = draw_plan(u->world);
	if (!stops_user_send(u, &plan))
		u->next_ms = now + RETRY_MS;
}

void
stops_user_pause(struct stops_user *u, uint64_t ms)
{
	watch(u, 0);
	u->next_ms = stops_now(u->world) + ms;
}

void
stops_users_tick(struct stops *s)
{
	for (int i = 0; i < s->user_count; i++)
		user_tick(&s->users[i], stops_now(s));
}

void
stops_user_open(struct stops *s, int relay)
{
	struct stops_user *u = &s->users[s->user_count++];

	if (s->user_count > STOPS_USERS_MAX)
		abort();
	*u = (struct stops_user){.world = s, .relay = relay, .fd = -1};
	ev_init(&u->io, on_io);
	u->io.data = u;
}

bool
stops_has_waiting(const struct stops *s)
{
	for (int i = 0; i < s->user_count; i++)
		if (s->users[i].request != NULL)
			return true;
	return false;
}

void
stops_users_close(struct stops *s)
{
	for (int i = 0; i < s->user_count; i++) {
		disconnect(&s->users[i], NULL);
		ld_buf_free(&s->users[i].out);
		ld_buf_free(&s->users[i].in);
	}
}
