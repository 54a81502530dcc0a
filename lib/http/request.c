/* The libcurl options of a request and of its connection. */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>

#include "http_internal.h"

/* A connection fails when sent data stays unacknowledged for this long. */
#define TCP_USER_TIMEOUT_MS 10000
#define IDLE_CONNECTION_AGE_S 30L

/*
 * libcurl sends a request again by itself when a reused connection ends before any
 * byte of the response. The caller decides on retries: the call ends instead.
 */
static void
refuse_resend(struct ld_http_call *c)
{
	c->failure = LD_E_CLOSED;
	c->http->resends++;
	ld_event("http.resend_refused", "ms=%llu",
	    (unsigned long long)(ld_loop_now(c->http->loop) - c->started_ms));
}

static int
on_sockopt(void *user, curl_socket_t fd, curlsocktype purpose)
{
	struct ld_http_call *c = user;
	unsigned int ms = TCP_USER_TIMEOUT_MS;

	if (c->written) {
		refuse_resend(c);
		return CURL_SOCKOPT_ERROR;
	}
	c->opened_fd = fd;
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
	return CURL_SOCKOPT_OK;
}

/* curl_slist_append() walks the list to its end. */
static void
add_field(struct ld_http_call *c, const char *line)
{
	struct curl_slist *field = curl_slist_append(NULL, line);

	if (c->headers == NULL)
		c->headers = field;
	else
		c->last_header->next = field;
	c->last_header = field;
}

static void
set_request_options(struct ld_http_call *c, const struct ld_http_request *rq)
{
	CURL *e = c->easy;

	curl_easy_setopt(e, CURLOPT_URL, rq->url);
	curl_easy_setopt(e, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, rq->method);
	if (rq->target != NULL)
		curl_easy_setopt(e, CURLOPT_REQUEST_TARGET, rq->target);
	if (strcmp(rq->method, "HEAD") == 0)
		curl_easy_setopt(e, CURLOPT_NOBODY, 1L);
	if (rq->body.p != NULL) {
		c->body = ld_str_dup(rq->body);
		curl_easy_setopt(e, CURLOPT_POST, 1L);
		curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE, (long)rq->body.len);
		curl_easy_setopt(e, CURLOPT_POSTFIELDS, c->body);
	}
	/* Waiting for "100 Continue" would delay the body by a round trip. */
	add_field(c, "Expect:");
	if (rq->bare) {
		add_field(c, "Accept:");
		add_field(c, "Content-Type:");
	}
	for (size_t i = 0; rq->headers != NULL && rq->headers[i] != NULL; i++)
		add_field(c, rq->headers[i]);
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, c->headers);
	if (rq->connect_timeout_ms > 0)
		curl_easy_setopt(
		    e, CURLOPT_CONNECTTIMEOUT_MS, (long)rq->connect_timeout_ms);
	if (rq->total_timeout_ms > 0)
		curl_easy_setopt(
		    e, CURLOPT_TIMEOUT_MS, (long)rq->total_timeout_ms);
	if (rq->fresh) {
		curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(e, CURLOPT_FORBID_REUSE, 1L);
	}
}

/*
 * Called before the request is written. Bytes that wait on an idle connection
 * belong to an earlier request, and libcurl would read them as the answer.
 */
static int
on_connected(void *user, char *remote_ip, char *local_ip, int remote_port,
    int local_port)
{
	struct ld_http_call *c = user;
	struct http_path path = {
	    .local_port = local_port, .remote_port = remote_port};

	snprintf(path.local_ip, sizeof(path.local_ip), "%s", local_ip);
	snprintf(path.remote_ip, sizeof(path.remote_ip), "%s", remote_ip);
	if (c->written) {
		refuse_resend(c);
		return CURL_PREREQFUNC_ABORT;
	}
	if (ld_http_is_new_connection(c)) {
		http_connection_opened(c->http, c->opened_fd, &path);
	} else if (http_connection_is_quiet(c->http, &path)) {
		c->reused = true;
		/* A resend would need a new connection: on_sockopt() refuses
		 * it before another idle one is taken. */
		curl_easy_setopt(c->easy, CURLOPT_FRESH_CONNECT, 1L);
	} else {
		c->connection_stale = true;
		return CURL_PREREQFUNC_ABORT;
	}
	c->written = true;
	return CURL_PREREQFUNC_OK;
}

static void
set_connection_options(struct ld_http_call *c)
{
	CURL *e = c->easy;

	curl_easy_setopt(e, CURLOPT_SOCKOPTFUNCTION, on_sockopt);
	curl_easy_setopt(e, CURLOPT_SOCKOPTDATA, c);
	curl_easy_setopt(e, CURLOPT_CLOSESOCKETFUNCTION, http_connection_close);
	curl_easy_setopt(e, CURLOPT_CLOSESOCKETDATA, c->http);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_connected);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, c);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, IDLE_CONNECTION_AGE_S);
}

void
http_set_request(struct ld_http_call *c, const struct ld_http_request *rq)
{
	curl_easy_setopt(c->easy, CURLOPT_PRIVATE, c);
	set_connection_options(c);
	set_request_options(c, rq);
}
