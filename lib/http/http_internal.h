/* Declarations private to lib/http: the client and its calls. */
#ifndef HTTP_INTERNAL_H
#define HTTP_INTERNAL_H

#include <curl/curl.h>
#include <netinet/in.h>

#include "ld_http.h"

/* Easy handles kept for reuse. */
#define SPARE_HANDLES_MAX 1024
#define RECEIVE_BUFFER_BYTES 16384L
#define HTTP_CONNECTION_BUCKETS 1024

struct http_connection;

/** struct http_path - both ends of a connection */
struct http_path {
	char local_ip[INET6_ADDRSTRLEN];
	char remote_ip[INET6_ADDRSTRLEN];
	int local_port;
	int remote_port;
};

struct ld_http {
	struct ld_loop *loop;
	CURLM *multi;
	struct ld_timer timer;
	struct ld_http_call *calls; /* all calls not yet freed */
	struct ld_http_call *ended_calls; /* to be freed */
	struct ld_http_call *pending_calls; /* started within a callback */
	CURL *spare[SPARE_HANDLES_MAX];
	size_t spare_count;
	/* Open connections by local port. */
	struct http_connection *connections[HTTP_CONNECTION_BUCKETS];
	struct http_connection **by_fd; /* the same, indexed by descriptor */
	size_t by_fd_count;
	uint64_t resends; /* refused */
	unsigned int curl_depth; /* > 0 while libcurl is on the stack */
};

struct ld_http_call {
	struct ld_http *http;
	struct ld_http_call *next;
	struct ld_http_call **pprev; /* the pointer to this call in the list */
	struct ld_http_call *next_ended;
	struct ld_http_call *next_pending;
	CURL *easy;
	struct curl_slist *headers;
	struct curl_slist *last_header;
	char *body;
	struct ld_http_sink *sink; /* NULL once the call has ended */
	struct ld_timer progress_timer;
	uint64_t started_ms;
	uint64_t last_progress_ms; /* when bytes last arrived */
	uint64_t progress_timeout_ms;
	size_t body_bytes; /* received so far */
	size_t head_bytes; /* received so far, with trailers */
	size_t bytes_at_last_read; /* head and body together */
	unsigned int empty_reads; /* consecutive reads without a new byte */
	size_t max_body;
	enum ld_status failure; /* why the client aborted the call */
	curl_socket_t opened_fd; /* of the connection that the call set up */
	bool connection_stale; /* the reused one; nothing was sent on it */
	bool written; /* the request may be on a connection */
	bool reused; /* on one that an earlier call had set up */
	bool head_seen;
	bool paused;
	bool ended; /* finished or cancelled, to be freed */
	bool pending; /* not yet added to libcurl */
};

/** http_set_request() - set the request and connection options of the call */
void http_set_request(struct ld_http_call *c, const struct ld_http_request *rq);
/** http_set_response_callbacks() - pass the response to the sink, bounded */
void http_set_response_callbacks(struct ld_http_call *c);

/** http_connection_opened() - remember the socket of a new connection */
void http_connection_opened(
    struct ld_http *h, curl_socket_t fd, const struct http_path *path);
/** http_connection_close() - CURLOPT_CLOSESOCKETFUNCTION; @user: the client */
int http_connection_close(void *user, curl_socket_t fd);
/** http_connection_is_quiet() - the idle connection is open, nothing waits */
bool http_connection_is_quiet(struct ld_http *h, const struct http_path *path);

#endif
