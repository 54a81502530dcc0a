/* One request and its answer. */
#include <assert.h>
#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "entry_internal.h"

#define STREAM_BLOCK_BYTES 16384
/* Bodies are held for as long as their requests take. */
#define NO_MEMORY_RETRY_MS 1000
/* libmicrohttpd's memory for a field beside its name and value, and what it adds
 * to the head of an answer. */
#define FIELD_OVERHEAD_BYTES 64
#define ANSWER_OVERHEAD_BYTES 512

/* ---- Requests ---- */

static void
make_request_id(struct ld_listener *e, char id[REQUEST_ID_BYTES])
{
	snprintf(id, REQUEST_ID_BYTES, "%016llx",
	    (unsigned long long)ld_rand_u64(&e->rand));
}

struct ld_exchange *
exchange_new(struct ld_listener *e, struct MHD_Connection *mhd,
    const char *method, const char *path)
{
	const union MHD_ConnectionInfo *info;
	struct ld_exchange *x = ld_alloc(sizeof(*x));

	x->listener = e;
	x->mhd = mhd;
	make_request_id(e, x->id);
	x->method = ld_strdup(method);
	x->path = ld_strdup(path);
	info = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	x->connection = info->socket_context;
	x->connection->exchange = x;
	x->since_ms = ld_loop_now(e->loop);
	x->connection->extended = false;
	x->connection->deadline_ms = x->since_ms + e->config.head_timeout_ms;
	e->open_exchanges++;
	return x;
}

void
exchange_hold(struct ld_exchange *x, size_t more, size_t less)
{
	/* Those of a connection that was ended for them are counted no more. */
	if (less > x->held_bytes)
		less = x->held_bytes;
	x->held_bytes += more - less;
	x->listener->held_bytes += more - less;
}

static void
hangup_watch_stop(struct ld_exchange *x)
{
	ev_io_stop(ld_loop_ev(x->listener->loop), &x->hangup);
}

void
exchange_free(struct ld_exchange *x)
{
	struct ld_listener *e = x->listener;

	hangup_watch_stop(x);
	if (x->dispatched)
		exchange_notify_gone(x);
	if (x->response != NULL)
		MHD_destroy_response(x->response);
	if (!x->dispatched && !x->queued)
		ld_event("entry.unread", "why=%s ms=%llu body_bytes=%zu",
		    x->connection->expired ? "timeout" : "closed",
		    (unsigned long long)(ld_loop_now(e->loop) - x->since_ms),
		    x->body.len + x->discarded);
	connection_answered(e, x->connection);
	exchange_hold(x, 0, x->held_bytes);
	e->open_exchanges--;
	free(x->method);
	free(x->path);
	free(x->target);
	ld_buf_free(&x->body);
	ld_fifo_free(&x->stream);
	free(x);
}

/* A body has time as long as it comes, up to that of an idle connection. */
static void
extend_deadline(struct ld_exchange *x)
{
	const struct ld_listener_config *c = &x->listener->config;
	struct connection *conn = x->connection;
	uint64_t now = ld_timers_now(ld_loop_timers(x->listener->loop));
	uint64_t last = x->since_ms + c->head_timeout_ms + c->idle_timeout_ms;
	uint64_t next = now + c->head_timeout_ms;

	conn->extended = false;
	if (next > last)
		next = last;
	if (next > conn->deadline_ms)
		conn->deadline_ms = next;
}

/* What is beyond the bound is read and dropped, so that the client receives the
 * answer. */
void
exchange_add_body(struct ld_exchange *x, const char *p, size_t n)
{
	const struct ld_listener *e = x->listener;

	extend_deadline(x);
	x->too_large |= x->body.len + n > e->config.max_body_bytes;
	x->no_memory |= e->config.max_held_bytes > 0 &&
	    e->held_bytes + n > e->config.max_held_bytes;
	if (!x->too_large && !x->no_memory) {
		ld_buf_add(&x->body, p, n);
		exchange_hold(x, n, 0);
		return;
	}
	x->discarded += n;
	exchange_hold(x, 0, x->body.len);
	ld_buf_free(&x->body);
}

void
exchange_notify_gone(struct ld_exchange *x)
{
	struct ld_handler *h = x->listener->handler;

	if (x->ended)
		return;
	x->ended = true;
	x->aborted = true;
	h->ops->client_disconnected(h, x);
}

/* ---- Suspended connections ---- */

/* Returns false when the listener closes: then nothing would resume it. */
static bool
suspend(struct ld_exchange *x)
{
	if (x->listener->freeing) {
		exchange_notify_gone(x);
		return false;
	}
	x->suspended = true;
	MHD_suspend_connection(x->mhd);
	return true;
}

static void
resume(struct ld_exchange *x)
{
	if (!x->suspended || x->in_handler)
		return;
	x->suspended = false;
	MHD_resume_connection(x->mhd);
	listener_schedule_run(x->listener);
}

/*
 * libmicrohttpd does not poll a suspended connection, so that it would not
 * detect a client that disconnects before the first byte of the answer.
 */
static void
on_hangup(struct ev_loop *ev, ev_io *io, int revents)
{
	struct ld_exchange *x = io->data;
	char byte;
	ssize_t n;

	n = recv(io->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	ev_io_stop(ev, io);
	if (n > 0)
		return; /* the next request has arrived */
	exchange_notify_gone(x);
	resume(x);
}

static void
hangup_watch_start(struct ld_exchange *x)
{
	ev_io_init(&x->hangup, on_hangup, x->connection->fd, EV_READ);
	x->hangup.data = x;
	ev_io_start(ld_loop_ev(x->listener->loop), &x->hangup);
}

/** struct head_size - of the head of a request */
struct head_size {
	size_t bytes; /* of the fields on the wire, at least */
	size_t fields;
};

static void
add_field_size(void *user, const char *name, const char *value)
{
	struct head_size *h = user;

	h->bytes += strlen(name) + strlen(":") + strlen(value) + strlen("\r\n");
	h->fields++;
}

/* The answer's head needs a part of the connection's memory. */
static bool
head_is_too_large(struct ld_exchange *x)
{
	const struct ld_listener_config *c = &x->listener->config;
	struct head_size h = {0};
	size_t needed;

	ld_exchange_fields(x, add_field_size, &h);
	needed = strlen(x->method) + strlen(ld_exchange_target(x)) + h.bytes +
	    h.fields * FIELD_OVERHEAD_BYTES + c->max_answer_head_bytes +
	    ANSWER_OVERHEAD_BYTES;
	return (c->max_head_bytes > 0 && h.bytes > c->max_head_bytes) ||
	    needed > c->connection_bytes;
}

/* libmicrohttpd passes on names with spaces, and a bare CR within a value: another
 * reader takes them for other fields, such as a length (RFC 9112, 5.1 and 2.2). */
static bool
is_token(const char *name)
{
	for (; *name != '\0'; name++)
		if (!isalnum((unsigned char)*name) &&
		    strchr("!#$%&'*+-.^_`|~", *name) == NULL)
			return false;
	return true;
}

static void
find_malformed_field(void *user, const char *name, const char *value)
{
	bool *found = user;

	*found |= name[0] == '\0' || !is_token(name) ||
	    strpbrk(value, "\r\n") != NULL;
}

static bool
has_malformed_field(struct ld_exchange *x)
{
	bool found = false;

	ld_exchange_fields(x, find_malformed_field, &found);
	return found;
}

static const struct ld_problem malformed_field = {
    .code = MHD_HTTP_BAD_REQUEST,
    .type = "malformed-field",
    .title = "A header field of the request is malformed",
    .ran = LD_RAN_NO,
};
static const struct ld_problem body_too_large = {
    .code = MHD_HTTP_CONTENT_TOO_LARGE,
    .type = "body-too-large",
    .title = "The request body is larger than this system takes",
    .ran = LD_RAN_NO,
};
static const struct ld_problem head_too_large = {
    .code = MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
    .type = "head-too-large",
    .title = "The request head is larger than this system takes",
    .ran = LD_RAN_NO,
};

static const struct ld_problem no_memory = {
    .code = MHD_HTTP_SERVICE_UNAVAILABLE,
    .type = "no-memory",
    .title = "The bodies of other requests take the memory for this one",
    .ran = LD_RAN_NO,
    .retry_after_ms = NO_MEMORY_RETRY_MS,
};

static enum MHD_Result
refuse(struct ld_exchange *x, const struct ld_problem *p)
{
	struct ld_handler *h = x->listener->handler;

	ld_event("entry.refused", "code=%u reason=%s body_bytes=%zu", p->code,
	    p->type, x->body.len + x->discarded);
	if (h->ops->refused != NULL)
		h->ops->refused(h, x, p);
	else
		ld_exchange_problem(x, p);
	return exchange_queue_response(x);
}

enum MHD_Result
exchange_dispatch(struct ld_exchange *x)
{
	struct ld_handler *h = x->listener->handler;

	x->connection->deadline_ms = UINT64_MAX;
	/* It isn't known where the request ends: what follows isn't read. */
	if (has_malformed_field(x)) {
		x->last = true;
		return refuse(x, &malformed_field);
	}
	if (x->too_large)
		return refuse(x, &body_too_large);
	if (x->no_memory)
		return refuse(x, &no_memory);
	if (head_is_too_large(x))
		return refuse(x, &head_too_large);
	x->dispatched = true;
	x->in_handler = true;
	h->ops->request(h, x);
	x->in_handler = false;
	if (x->aborted)
		return MHD_NO;
	if (!x->ended)
		hangup_watch_start(x);
	if (x->response != NULL)
		return exchange_queue_response(x);
	return suspend(x) ? MHD_YES : MHD_NO;
}

enum MHD_Result
exchange_queue_response(struct ld_exchange *x)
{
	if (x->aborted || x->response == NULL || x->queued)
		return MHD_NO;
	x->queued = true;
	return MHD_queue_response(x->mhd, x->code, x->response);
}

/* ---- Accessors ---- */

const char *
ld_exchange_id(const struct ld_exchange *x)
{
	return x->id;
}

const char *
ld_exchange_method(const struct ld_exchange *x)
{
	return x->method;
}

const char *
ld_exchange_path(const struct ld_exchange *x)
{
	return x->path;
}

struct in_addr
ld_exchange_sender(const struct ld_exchange *x)
{
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(x->mhd, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	struct in_addr none = {0};

	if (info == NULL || info->client_addr->sa_family != AF_INET)
		return none;
	return ((const struct sockaddr_in *)info->client_addr)->sin_addr;
}

const char *
ld_exchange_target(const struct ld_exchange *x)
{
	return x->target != NULL ? x->target : x->path;
}

const char *
ld_exchange_header(struct ld_exchange *x, const char *name)
{
	return MHD_lookup_connection_value(x->mhd, MHD_HEADER_KIND, name);
}

/** struct field_visit - the visitor of ld_exchange_fields() */
struct field_visit {
	void (*fn)(void *user, const char *name, const char *value);
	void *user;
};

static enum MHD_Result
visit_field(
    void *cls, enum MHD_ValueKind kind, const char *name, const char *value)
{
	struct field_visit *v = cls;

	v->fn(v->user, name, value != NULL ? value : "");
	return MHD_YES;
}

void
ld_exchange_fields(struct ld_exchange *x,
    void (*fn)(void *user, const char *name, const char *value), void *user)
{
	struct field_visit v = {fn, user};

	MHD_get_connection_values(x->mhd, MHD_HEADER_KIND, visit_field, &v);
}

uint64_t
ld_exchange_start_ms(const struct ld_exchange *x)
{
	return x->since_ms;
}

struct ld_str
ld_exchange_body(const struct ld_exchange *x)
{
	return ld_buf_str(&x->body);
}

struct ld_str
ld_exchange_bearer(struct ld_exchange *x)
{
	static const char scheme[] = "Bearer ";
	const char *value = ld_exchange_header(x, "Authorization");

	if (value == NULL ||
	    strncasecmp(value, scheme, sizeof(scheme) - 1) != 0)
		return ld_str_c(NULL);
	return ld_str_c(value + sizeof(scheme) - 1);
}

void
ld_exchange_set_user_data(struct ld_exchange *x, void *owner)
{
	x->owner = owner;
}

void *
ld_exchange_user_data(const struct ld_exchange *x)
{
	return x->owner;
}

/* ---- Answers ---- */

static void
set_response(struct ld_exchange *x, struct MHD_Response *r, unsigned int code,
    const char *content_type)
{
	assert(x->response == NULL);
	x->response = r;
	x->code = code;
	if (content_type != NULL)
		MHD_add_response_header(r, "Content-Type", content_type);
	if (!x->listener->config.no_request_id)
		MHD_add_response_header(r, "X-Request-Id", x->id);
	/* A listener that stopped listening closes its open connections. */
	if (x->last || x->listener->listen_fd >= 0 || x->listener->closing)
		MHD_add_response_header(r, "Connection", "close");
}

void
ld_exchange_answer(struct ld_exchange *x, unsigned int code,
    const char *content_type, const char *const *headers, struct ld_str body)
{
	struct MHD_Response *r;

	r = MHD_create_response_from_buffer(
	    body.len, (void *)(uintptr_t)body.p, MHD_RESPMEM_MUST_COPY);
	set_response(x, r, code, content_type);
	for (; headers != NULL && headers[0] != NULL; headers += 2)
		MHD_add_response_header(r, headers[0], headers[1]);
	exchange_hold(x, body.len, 0);
	x->ended = true;
	resume(x);
}

void
ld_exchange_answer_with(struct ld_exchange *x, unsigned int code,
    const char *const *headers, struct ld_buf *body)
{
	struct MHD_Response *r =
	    MHD_create_response_from_buffer_with_free_callback(
		body->len, body->p, free);

	exchange_hold(x, body->cap, 0);
	*body = (struct ld_buf){0};
	set_response(x, r, code, NULL);
	for (; headers != NULL && headers[0] != NULL; headers += 2)
		MHD_add_response_header(r, headers[0], headers[1]);
	x->ended = true;
	resume(x);
}

static void
notify_drained(struct ld_exchange *x)
{
	struct ld_handler *h = x->listener->handler;

	if (!x->backlog_exceeded || x->ended ||
	    ld_exchange_backlog(x) > LD_ENTRY_BACKLOG_BYTES / 2)
		return;
	x->backlog_exceeded = false;
	if (h->ops->client_drained != NULL)
		h->ops->client_drained(h, x);
}

/* Passes stream bytes to libmicrohttpd; suspends when there are none. */
static ssize_t
read_stream(void *cls, uint64_t pos, char *out, size_t max)
{
	struct ld_exchange *x = cls;
	size_t n = ld_exchange_backlog(x);

	if (n == 0 && x->aborted)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (n == 0 && x->ended)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (n == 0)
		return suspend(x) ? 0 : MHD_CONTENT_READER_END_WITH_ERROR;
	if (n > max)
		n = max;
	memcpy(out, ld_fifo_str(&x->stream).p, n);
	ld_fifo_consume(&x->stream, n);
	exchange_hold(x, 0, n);
	notify_drained(x);
	return (ssize_t)n;
}

static void
begin_stream(struct ld_exchange *x, unsigned int code, const char *content_type,
    const char *const *headers)
{
	struct MHD_Response *r;

	r = MHD_create_response_from_callback(
	    MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_stream, x, NULL);
	set_response(x, r, code, content_type);
	for (; headers[0] != NULL; headers += 2)
		MHD_add_response_header(r, headers[0], headers[1]);
	x->streaming = true;
	resume(x);
}

void
ld_exchange_begin_with(
    struct ld_exchange *x, unsigned int code, const char *const *headers)
{
	begin_stream(x, code, NULL, headers);
}

void
ld_exchange_begin(
    struct ld_exchange *x, unsigned int code, const char *content_type)
{
	static const char *const headers[] = {
	    "Cache-Control", "no-store", NULL};

	begin_stream(x, code, content_type, headers);
}

void
ld_exchange_write(struct ld_exchange *x, struct ld_str bytes)
{
	assert(x->streaming && !x->ended);
	ld_buf_adds(ld_fifo_tail(&x->stream), bytes);
	exchange_hold(x, bytes.len, 0);
	if (ld_exchange_backlog(x) > LD_ENTRY_BACKLOG_BYTES)
		x->backlog_exceeded = true;
	resume(x);
}

size_t
ld_exchange_backlog(const struct ld_exchange *x)
{
	return ld_fifo_len(&x->stream);
}

void
ld_exchange_end(struct ld_exchange *x)
{
	x->ended = true;
	resume(x);
}

void
ld_exchange_abort(struct ld_exchange *x)
{
	x->ended = true;
	x->aborted = true;
	resume(x);
}
