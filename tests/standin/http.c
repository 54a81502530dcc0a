/* The HTTP server of the stand-ins: libmicrohttpd driven by the libev loop. */
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "ld_standin.h"

#define CONNECTIONS_MAX 15000
#define STREAM_BLOCK_BYTES 4096
#define RUNS_PER_TURN 16

struct si_server {
	struct MHD_Daemon *daemon;
	struct ld_loop *loop;
	const struct si_ops *ops;
	ev_io io;
	ev_prepare prepare;
	ev_timer again; /* the library has work without a socket event */
	bool resumed; /* a request was resumed since the last run */
};

struct ld_loop *
si_loop(struct si_server *s)
{
	return s->loop;
}

/* ---- Answers ---- */

static void
wake(struct si_req *r)
{
	if (!r->suspended)
		return;
	r->suspended = false;
	r->srv->resumed = true;
	MHD_resume_connection(r->conn);
}

static ssize_t
read_stream(void *cls, uint64_t pos, char *out, size_t max)
{
	struct si_req *r = cls;
	size_t n = r->out.len < max ? r->out.len : max;

	if (r->cut)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (n > 0) {
		memcpy(out, r->out.p, n);
		ld_buf_consume(&r->out, n);
		return (ssize_t)n;
	}
	if (r->ended)
		return MHD_CONTENT_READER_END_OF_STREAM;
	r->suspended = true;
	MHD_suspend_connection(r->conn);
	return 0;
}

static enum MHD_Result
queue_answer(struct si_req *r)
{
	struct MHD_Response *resp;
	enum MHD_Result ok;

	if (r->cut)
		return MHD_NO;
	if (r->streaming)
		resp = MHD_create_response_from_callback(
		    MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_stream, r, NULL);
	else
		resp = MHD_create_response_from_buffer(
		    r->out.len, r->out.p, MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(resp, "Content-Type", r->content_type);
	r->state = SI_QUEUED;
	ok = MHD_queue_response(r->conn, r->status, resp);
	MHD_destroy_response(resp);
	return ok;
}

static void
answered(struct si_req *r)
{
	r->state = SI_ANSWERED;
	wake(r);
}

void
si_answer(struct si_req *r, unsigned int status, struct ld_str body)
{
	r->status = status;
	ld_buf_adds(&r->out, body);
	answered(r);
}

static void
on_delayed(struct ld_timer *t, uint64_t now_ms)
{
	answered((struct si_req *)((char *)t - offsetof(struct si_req, timer)));
}

void
si_answer_json(
    struct si_req *r, unsigned int status, json_t *j, uint64_t delay_ms)
{
	char *text = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	r->status = status;
	ld_buf_adds(&r->out, ld_str_c(text));
	free(text);
	if (delay_ms == 0) {
		answered(r);
		return;
	}
	r->timer.fn = on_delayed;
	ld_timer_after(ld_loop_timers(r->srv->loop), &r->timer, delay_ms);
}

void
si_answer_error(struct si_req *r, unsigned int status, const char *what)
{
	si_answer_json(
	    r, status, json_pack("{s:s,s:i}", "error", what, "code", 0), 0);
}

void
si_cut(struct si_req *r)
{
	r->cut = true;
	if (r->state == SI_QUEUED)
		wake(r);
	else
		answered(r);
}

void
si_stream(struct si_req *r, const char *content_type)
{
	r->streaming = true;
	r->status = MHD_HTTP_OK;
	r->content_type = content_type;
	answered(r);
}

void
si_push(struct si_req *r, struct ld_str bytes)
{
	ld_buf_adds(&r->out, bytes);
	wake(r);
}

void
si_end(struct si_req *r)
{
	r->ended = true;
	wake(r);
}

/* ---- Requests ---- */

const char *
si_header(struct si_req *r, const char *name)
{
	return MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND, name);
}

const char *
si_query(struct si_req *r, const char *name)
{
	return MHD_lookup_connection_value(
	    r->conn, MHD_GET_ARGUMENT_KIND, name);
}

uint64_t
si_query_u64(struct si_req *r, const char *name, uint64_t otherwise)
{
	const char *v = si_query(r, name);

	return v != NULL ? strtoull(v, NULL, 10) : otherwise;
}

bool
si_is(const struct si_req *r, const char *method, const char *path)
{
	return strcmp(r->method, method) == 0 && strcmp(r->path, path) == 0;
}

json_t *
si_body(struct si_req *r)
{
	return json_loadb(r->body.p, r->body.len, 0, NULL);
}

bool
si_peer_gone(struct si_req *r)
{
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(r->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	char byte;
	ssize_t n;

	if (info == NULL)
		return true;
	n = recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return n == 0 || (n < 0 && errno != EAGAIN);
}

static struct si_req *
req_new(struct si_server *s, struct MHD_Connection *c, const char *url,
    const char *method)
{
	struct si_req *r = ld_alloc(sizeof(*r));

	r->srv = s;
	r->conn = c;
	r->method = ld_strdup(method);
	r->path = ld_strdup(url);
	r->content_type = "application/json";
	return r;
}

static enum MHD_Result
on_access(void *cls, struct MHD_Connection *c, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **con_cls)
{
	struct si_server *s = cls;
	struct si_req *r = *con_cls;

	if (r == NULL) {
		*con_cls = req_new(s, c, url, method);
		return MHD_YES;
	}
	if (*size > 0) {
		ld_buf_add(&r->body, data, *size);
		*size = 0;
		return MHD_YES;
	}
	if (r->state == SI_READING) {
		r->state = SI_WAITING;
		s->ops->handle(r);
	}
	if (r->state == SI_ANSWERED)
		return queue_answer(r);
	r->suspended = true;
	MHD_suspend_connection(c);
	return MHD_YES;
}

static void
on_completed(void *cls, struct MHD_Connection *c, void **con_cls,
    enum MHD_RequestTerminationCode code)
{
	struct si_server *s = cls;
	struct si_req *r = *con_cls;

	if (r == NULL)
		return;
	if (s->ops->closed != NULL)
		s->ops->closed(r);
	ld_timer_stop(ld_loop_timers(s->loop), &r->timer);
	ld_buf_free(&r->body);
	ld_buf_free(&r->out);
	free(r->method);
	free(r->path);
	free(r);
	*con_cls = NULL;
}

/* ---- Loop ---- */

static bool
has_work(struct si_server *s)
{
	MHD_UNSIGNED_LONG_LONG timeout;

	if (s->resumed)
		return true;
	return MHD_get_timeout(s->daemon, &timeout) == MHD_YES && timeout == 0;
}

static void
run(struct si_server *s)
{
	int n = 0;

	do {
		s->resumed = false;
		MHD_run(s->daemon);
	} while (++n < RUNS_PER_TURN && has_work(s));
}

static void
on_io(struct ev_loop *ev, ev_io *w, int revents)
{
	run(w->data);
}

static void
on_again(struct ev_loop *ev, ev_timer *w, int revents)
{
	run(w->data);
}

static void
on_prepare(struct ev_loop *ev, ev_prepare *w, int revents)
{
	struct si_server *s = w->data;

	if (has_work(s) && !ev_is_active(&s->again)) {
		ev_timer_set(&s->again, 0.0, 0.0);
		ev_timer_start(ev, &s->again);
	}
}

static struct MHD_Daemon *
start_daemon(struct si_server *s, const char *address, int port)
{
	struct sockaddr_in sin = {
	    .sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	};

	if (inet_pton(AF_INET, address, &sin.sin_addr) != 1)
		return NULL;
	return MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME,
	    (uint16_t)port, NULL, NULL, on_access, s, MHD_OPTION_SOCK_ADDR,
	    (struct sockaddr *)&sin, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
	    s, MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONNECTIONS_MAX,
	    MHD_OPTION_LISTEN_BACKLOG_SIZE, 4096U,
	    MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
}

struct si_server *
si_serve(struct ld_loop *loop, const char *address, int port,
    const struct si_ops *ops)
{
	struct si_server *s = ld_alloc(sizeof(*s));
	struct ev_loop *ev = ld_loop_ev(loop);
	const union MHD_DaemonInfo *info;

	s->loop = loop;
	s->ops = ops;
	s->daemon = start_daemon(s, address, port);
	if (s->daemon == NULL) {
		ld_log(LD_LOG_ERR, "standin", "can't listen on %s:%d: %s",
		    address, port, strerror(errno));
		free(s);
		return NULL;
	}
	info = MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	ev_io_init(&s->io, on_io, info->epoll_fd, EV_READ);
	s->io.data = s;
	ev_io_start(ev, &s->io);
	ev_init(&s->again, on_again);
	s->again.data = s;
	ev_prepare_init(&s->prepare, on_prepare);
	s->prepare.data = s;
	ev_prepare_start(ev, &s->prepare);
	return s;
}
