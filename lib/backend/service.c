/* Calls to plain services. */
#include <stdlib.h>

#include "ld_backend.h"

#define HEADERS_MAX 4 /* three and NULL */

struct ld_service_call {
	struct ld_http_sink sink;
	struct ld_http_call *call;
	const struct ld_service_ops *ops;
	void *owner;
	char *content_type;
	struct ld_buf body;
};

static void
service_free(struct ld_service_call *c)
{
	free(c->content_type);
	ld_buf_free(&c->body);
	free(c);
}

static void
on_head(struct ld_http_sink *s, long code, struct ld_str content_type)
{
	struct ld_service_call *c = (struct ld_service_call *)s;

	c->content_type = ld_str_dup(content_type);
}

static void
on_body(struct ld_http_sink *s, struct ld_str bytes)
{
	struct ld_service_call *c = (struct ld_service_call *)s;

	ld_buf_adds(&c->body, bytes);
}

static void
on_done(struct ld_http_sink *s, const struct ld_http_result *r)
{
	struct ld_service_call *c = (struct ld_service_call *)s;

	c->ops->done(
	    c->owner, r, ld_str_c(c->content_type), ld_buf_str(&c->body));
	service_free(c);
}

struct ld_service_call *
ld_service_start(struct ld_http *http, const struct ld_service_request *rq,
    const struct ld_service_ops *ops, void *owner)
{
	static const struct ld_http_sink_ops sink_ops = {
	    .head = on_head, .body = on_body, .done = on_done};
	struct ld_buf type = {0}, id = {0}, key = {0};
	const char *headers[HEADERS_MAX] = {0};
	struct ld_service_call *c = ld_alloc(sizeof(*c));
	struct ld_http_request hr = {.method = rq->method};
	struct ld_buf url = {0};
	size_t n = 0;

	ld_buf_printf(&url, "http://%s%s", rq->address, rq->target);
	ld_buf_printf(&id, "X-Request-Id: %s", rq->request_id);
	headers[n++] = ld_buf_cstr(&id);
	if (rq->content_type != NULL) {
		ld_buf_printf(&type, "Content-Type: %s", rq->content_type);
		headers[n++] = ld_buf_cstr(&type);
	}
	if (rq->idempotency_key != NULL) {
		ld_buf_printf(&key, "Idempotency-Key: %s", rq->idempotency_key);
		headers[n++] = ld_buf_cstr(&key);
	}
	hr.url = ld_buf_cstr(&url);
	hr.headers = headers;
	hr.body = rq->body;
	hr.fresh = !rq->idempotent;
	hr.connect_timeout_ms = rq->connect_timeout_ms;
	hr.total_timeout_ms = rq->total_timeout_ms;
	hr.max_body = LD_SERVICE_ANSWER_MAX_BYTES;
	c->sink.ops = &sink_ops;
	c->ops = ops;
	c->owner = owner;
	c->call = ld_http_start(http, &hr, &c->sink);
	ld_buf_free(&url);
	ld_buf_free(&type);
	ld_buf_free(&id);
	ld_buf_free(&key);
	if (c->call == NULL) {
		service_free(c);
		return NULL;
	}
	return c;
}

void
ld_service_cancel(struct ld_service_call *c)
{
	ld_http_cancel(c->call);
	service_free(c);
}
