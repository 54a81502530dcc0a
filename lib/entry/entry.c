/* Listener: libmicrohttpd driven by the libev loop. */
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

#include "entry_internal.h"

#define CONNECTION_DEFAULT_BYTES 32768
#define ANSWER_HEAD_DEFAULT_BYTES 2048
#define SWEEP_INTERVAL_MS 1000
/* libmicrohttpd's own timeout ends answers that a client doesn't read. on_sweep()
 * closes idle connections this much earlier, ms. */
#define UNREAD_MARGIN_MS 10000
#define MS_PER_S 1000
#define LISTEN_BACKLOG 1024
#define PART "entry"

/* ---- Driving libmicrohttpd ---- */

static void
run_daemon(struct ld_listener *e)
{
	struct ld_timers *ts = ld_loop_timers(e->loop);
	MHD_UNSIGNED_LONG_LONG wait_ms;

	e->resumed = false;
	MHD_run(e->daemon);
	if (e->resumed)
		ld_timer_start(ts, &e->timer, ld_loop_now(e->loop));
	else if (MHD_get_timeout(e->daemon, &wait_ms) == MHD_YES)
		ld_timer_start(
		    ts, &e->timer, ld_loop_now(e->loop) + (uint64_t)wait_ms);
	else
		ld_timer_stop(ts, &e->timer);
}

void
listener_schedule_run(struct ld_listener *e)
{
	if (e->resumed)
		return;
	e->resumed = true;
	ld_timer_start(
	    ld_loop_timers(e->loop), &e->timer, ld_loop_now(e->loop));
}

/* Runs before the loop waits, so that answers of connections resumed in this
 * iteration are sent in it. */
static void
on_prepare(struct ev_loop *ev, ev_prepare *w, int revents)
{
	struct ld_listener *e = w->data;

	if (e->resumed)
		run_daemon(e);
}

static void
on_io(struct ev_loop *ev, ev_io *io, int revents)
{
	run_daemon(io->data);
}

static void
on_timer(struct ld_timer *t, uint64_t now_ms)
{
	run_daemon((struct ld_listener *)((char *)t -
	    offsetof(struct ld_listener, timer)));
}

/* ---- Connections ---- */

static uint64_t
idle_deadline_ms(const struct connection *c, const struct ld_listener *e)
{
	uint64_t ms = e->config.idle_timeout_ms;

	/* The first request may begin as late as any other. */
	if (ms < e->config.head_timeout_ms)
		ms = e->config.head_timeout_ms;
	return c->idle_since_ms + ms;
}

static unsigned int
unread_timeout_s(const struct ld_listener *e)
{
	return (unsigned int)((e->config.idle_timeout_ms + UNREAD_MARGIN_MS) /
	    MS_PER_S);
}

static void
set_unread_timeout(struct ld_listener *e, struct connection *c)
{
	unsigned int s = unread_timeout_s(e);

	if (s > e->mhd_timeout_s)
		MHD_set_connection_option(
		    c->mhd, MHD_CONNECTION_OPTION_TIMEOUT, s);
}

static void
connection_opened(
    struct ld_listener *e, struct MHD_Connection *mhd, void **context)
{
	struct connection *c = ld_alloc(sizeof(*c));
	const union MHD_ConnectionInfo *info;

	info = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
	c->mhd = mhd;
	c->fd = info->connect_fd;
	c->idle_since_ms = ld_loop_now(e->loop);
	c->deadline_ms = idle_deadline_ms(c, e);
	set_unread_timeout(e, c);
	c->next = e->connections;
	c->link = &e->connections;
	if (c->next != NULL)
		c->next->link = &c->next;
	e->connections = c;
	e->connection_count++;
	*context = c;
}

static void
connection_closed(struct ld_listener *e, struct connection *c)
{
	*c->link = c->next;
	if (c->next != NULL)
		c->next->link = c->link;
	e->connection_count--;
	linger(e, c->fd);
	free(c);
}

static void
on_connection(void *cls, struct MHD_Connection *mhd, void **context,
    enum MHD_ConnectionNotificationCode event)
{
	struct ld_listener *e = cls;

	if (event == MHD_CONNECTION_NOTIFY_STARTED)
		connection_opened(e, mhd, context);
	else if (*context != NULL)
		connection_closed(e, *context);
}

void
connection_answered(struct ld_listener *e, struct connection *c)
{
	c->exchange = NULL;
	c->extended = false;
	c->idle_since_ms = ld_loop_now(e->loop);
	c->deadline_ms = idle_deadline_ms(c, e);
}

static bool
has_unread(int fd)
{
	int bytes = 0;

	return ioctl(fd, SIOCINQ, &bytes) == 0 && bytes > 0;
}

/* Bytes that have arrived and aren't read show that this process is late, and not
 * the client. */
static void
close_expired(struct connection *c, uint64_t now_ms)
{
	if (c->expired)
		return;
	if (!c->extended && has_unread(c->fd)) {
		c->extended = true;
		c->deadline_ms = now_ms + SWEEP_INTERVAL_MS;
		return;
	}
	c->expired = true;
	shutdown(c->fd, SHUT_RDWR);
}

/* Closes connections past their deadline, such as those of a client that sends
 * its head or body very slowly. */
static void
on_sweep(struct ld_timer *t, uint64_t now_ms)
{
	struct ld_listener *e = (struct ld_listener *)((char *)t -
	    offsetof(struct ld_listener, sweep));

	uint64_t now = ld_loop_now(e->loop);

	/* Not the timer's time: a late loop fires for each interval that passed,
	 * before it reads. */
	for (struct connection *c = e->connections; c != NULL; c = c->next)
		if (now >= c->deadline_ms)
			close_expired(c, now);
	ld_timer_start(
	    ld_loop_timers(e->loop), &e->sweep, now + SWEEP_INTERVAL_MS);
}

/* ---- Requests ---- */

static enum MHD_Result
on_request(void *cls, struct MHD_Connection *mhd, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **context)
{
	struct ld_exchange *x = *context;

	if (x == NULL)
		return MHD_NO; /* on_uri() creates it */
	if (x->mhd == NULL) {
		x->mhd = mhd;
		free(x->method);
		x->method = ld_strdup(method);
		return MHD_YES;
	}
	if (x->connection->expired)
		return MHD_NO;
	if (*size > 0) {
		exchange_add_body(x, data, *size);
		*size = 0;
		return MHD_YES;
	}
	if (!x->dispatched && !x->ended)
		return exchange_dispatch(x);
	return exchange_queue_response(x);
}

/* Only the raw target has the query; libmicrohttpd passes it before it reads
 * the headers. */
static void *
on_uri(void *cls, const char *target, struct MHD_Connection *mhd)
{
	struct ld_exchange *x;
	const char *query = strchr(target, '?');
	char *path;

	path = query != NULL
	    ? ld_str_dup((struct ld_str){target, (size_t)(query - target)})
	    : ld_strdup(target);
	x = exchange_new(cls, mhd, "", path);
	x->target = ld_strdup(target);
	x->mhd = NULL;
	free(path);
	return x;
}

static void
on_completed(void *cls, struct MHD_Connection *mhd, void **context,
    enum MHD_RequestTerminationCode reason)
{
	struct ld_exchange *x = *context;

	if (x != NULL)
		exchange_free(x);
	*context = NULL;
}

static void
on_log(void *cls, const char *fmt, va_list ap)
{
	char text[256];

	vsnprintf(text, sizeof(text), fmt, ap);
	text[strcspn(text, "\n")] = '\0';
	ld_log(LD_LOG_DEBUG, PART, "libmicrohttpd: %s", text);
}

/* ---- Listener ---- */

static enum ld_status
open_listener(const struct ld_listener_config *c, int *out)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	int on = 1;
	int fd = -1;

	addr.sin_port = htons(c->port);
	if (inet_pton(AF_INET, c->host, &addr.sin_addr) != 1)
		return ld_fail(
		    LD_E_INVALID, "%s is not an IPv4 address", c->host);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return ld_fail(LD_E_IO, "socket: %s", strerror(errno));
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
	    listen(fd, LISTEN_BACKLOG) != 0) {
		ld_fail(
		    LD_E_IO, "%s:%u: %s", c->host, c->port, strerror(errno));
		close(fd);
		return LD_E_IO;
	}
	*out = fd;
	return LD_OK;
}

static struct MHD_Daemon *
start_daemon(struct ld_listener *e, int fd)
{
	unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME |
	    MHD_USE_ITC | MHD_USE_ERROR_LOG;

	e->mhd_timeout_s = unread_timeout_s(e);
	return MHD_start_daemon(flags, 0, NULL, NULL, on_request, e,
	    MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
	    e->config.max_connections, MHD_OPTION_CONNECTION_TIMEOUT,
	    e->mhd_timeout_s, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
	    e->config.connection_bytes, MHD_OPTION_NOTIFY_COMPLETED,
	    on_completed, e, MHD_OPTION_NOTIFY_CONNECTION, on_connection, e,
	    MHD_OPTION_URI_LOG_CALLBACK, on_uri, e, MHD_OPTION_EXTERNAL_LOGGER,
	    on_log, e, MHD_OPTION_END);
}

enum ld_status
ld_listener_new(struct ld_loop *loop, const struct ld_listener_config *config,
    struct ld_handler *handler, struct ld_listener **out)
{
	const union MHD_DaemonInfo *info;
	struct ld_listener *e;
	enum ld_status st;
	int fd = -1;

	st = open_listener(config, &fd);
	if (st != LD_OK)
		return st;
	e = ld_alloc(sizeof(*e));
	e->loop = loop;
	e->handler = handler;
	e->config = *config;
	if (e->config.connection_bytes == 0)
		e->config.connection_bytes = CONNECTION_DEFAULT_BYTES;
	if (e->config.max_answer_head_bytes == 0)
		e->config.max_answer_head_bytes = ANSWER_HEAD_DEFAULT_BYTES;
	e->listen_fd = -1;
	e->timer.fn = on_timer;
	e->sweep.fn = on_sweep;
	ld_rand_seed_os(&e->rand);
	e->daemon = start_daemon(e, fd);
	if (e->daemon == NULL) {
		close(fd);
		free(e);
		return ld_fail(LD_E_IO, "libmicrohttpd did not start");
	}
	info = MHD_get_daemon_info(e->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	ev_io_init(&e->io, on_io, info->epoll_fd, EV_READ);
	e->io.data = e;
	ev_io_start(ld_loop_ev(loop), &e->io);
	ev_prepare_init(&e->prepare, on_prepare);
	/* Before the prepare watcher of ld_loop, which reads when the next
	 * timer is due. */
	ev_set_priority(&e->prepare, EV_MAXPRI);
	e->prepare.data = e;
	ev_prepare_start(ld_loop_ev(loop), &e->prepare);
	ld_timer_after(ld_loop_timers(loop), &e->sweep, SWEEP_INTERVAL_MS);
	*out = e;
	return LD_OK;
}

void
ld_listener_stop_listening(struct ld_listener *e)
{
	if (e->listen_fd < 0)
		e->listen_fd = MHD_quiesce_daemon(e->daemon);
}

void
ld_listener_set_closing(struct ld_listener *e)
{
	e->closing = true;
}

void
ld_listener_set_bounds(struct ld_listener *e, size_t max_head_bytes,
    size_t max_body_bytes, uint64_t idle_timeout_ms, uint64_t head_timeout_ms)
{
	e->config.max_head_bytes = max_head_bytes;
	e->config.max_body_bytes = max_body_bytes;
	e->config.idle_timeout_ms = idle_timeout_ms;
	e->config.head_timeout_ms = head_timeout_ms;
	/* A shorter timeout is for the connections that become idle from now on:
	 * clients keep to the bounds that they know. */
	for (struct connection *c = e->connections; c != NULL; c = c->next) {
		set_unread_timeout(e, c);
		if (c->exchange == NULL &&
		    idle_deadline_ms(c, e) > c->deadline_ms)
			c->deadline_ms = idle_deadline_ms(c, e);
	}
}

size_t
ld_listener_open_exchanges(const struct ld_listener *e)
{
	return e->open_exchanges;
}

size_t
ld_listener_held_bytes(const struct ld_listener *e)
{
	return e->held_bytes;
}

size_t
ld_listener_end_largest(struct ld_listener *e)
{
	struct connection *largest = NULL;
	size_t bytes;

	for (struct connection *c = e->connections; c != NULL; c = c->next)
		if (c->exchange != NULL && c->exchange->ended && !c->expired &&
		    c->exchange->held_bytes > 0 &&
		    (largest == NULL ||
			c->exchange->held_bytes >
			    largest->exchange->held_bytes))
			largest = c;
	if (largest == NULL)
		return 0;
	bytes = largest->exchange->held_bytes;
	largest->expired = true;
	exchange_hold(largest->exchange, 0, bytes);
	shutdown(largest->fd, SHUT_RDWR);
	return bytes;
}

size_t
ld_listener_connections(const struct ld_listener *e)
{
	return e->connection_count;
}

size_t
ld_listener_lingering(const struct ld_listener *e)
{
	return e->lingering_count;
}

/* libmicrohttpd must not be stopped while connections are suspended. */
static void
resume_all(struct ld_listener *e)
{
	for (struct connection *c = e->connections; c != NULL; c = c->next) {
		struct ld_exchange *x = c->exchange;

		if (x == NULL)
			continue;
		exchange_notify_gone(x);
		x->aborted = true;
		if (x->suspended) {
			x->suspended = false;
			MHD_resume_connection(x->mhd);
		}
	}
}

void
ld_listener_free(struct ld_listener *e)
{
	if (e == NULL)
		return;
	e->freeing = true;
	resume_all(e);
	MHD_run(e->daemon);
	ev_io_stop(ld_loop_ev(e->loop), &e->io);
	ev_prepare_stop(ld_loop_ev(e->loop), &e->prepare);
	ld_timer_stop(ld_loop_timers(e->loop), &e->timer);
	ld_timer_stop(ld_loop_timers(e->loop), &e->sweep);
	MHD_stop_daemon(e->daemon);
	linger_end(e);
	if (e->listen_fd >= 0)
		close(e->listen_fd);
	free(e);
}
