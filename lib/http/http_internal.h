/* Shared by the files of lib/http: the client, and one call. */
#ifndef HTTP_INTERNAL_H
#define HTTP_INTERNAL_H

#include <curl/curl.h>

#include "ld_http.h"

/* Easy handles kept for reuse. */
#define SPARE_HANDLES_MAX 1024
#define RECEIVE_BUFFER_BYTES 16384L

struct ld_http {
	struct ld_loop *loop;
	CURLM *multi;
	struct ld_timer timer;
	struct ld_http_call *calls; /* all that are running or unreaped */
	struct ld_http_call *dead; /* cancelled inside a callback */
	struct ld_http_call *added; /* started inside a callback */
	CURL *spare[SPARE_HANDLES_MAX];
	size_t spares;
	unsigned int depth; /* > 0 while libcurl is on the stack */
};

struct ld_http_call {
	struct ld_http *http;
	struct ld_http_call *next;
	struct ld_http_call **link;
	struct ld_http_call *next_dead;
	struct ld_http_call *next_added;
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	struct ld_http_sink *sink; /* NULL once cancelled */
	struct ld_timer progress;
	uint64_t started_ms;
	uint64_t progress_ms; /* when bytes last arrived */
	uint64_t progress_timeout_ms;
	size_t received;
	size_t head_received;
	size_t received_before; /* of both, at the last read */
	unsigned int empty_reads; /* since then */
	size_t max_body;
	enum ld_status failure; /* set when this side ends the call */
	bool head_seen;
	bool paused;
	bool dying;
	bool adding; /* libcurl does not have it yet */
};

/** http_set_request() - what the call sends, and how its connection behaves */
void http_set_request(struct ld_http_call *c, const struct ld_http_request *rq);
/** http_set_answer() - the call's answer goes to its sink, within bounds */
void http_set_answer(struct ld_http_call *c);

#endif
