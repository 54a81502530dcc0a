/* Blocking HTTP calls to the operators' listeners of nodes. */
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "client.h"
#include "commands.h"
#include "ld_http.h"
#include "ld_settings.h"

#define CALL_TIMEOUT_MS 10000
#define HEADER_BYTES 256
#define FILE_MAX_BYTES 2097152
#define TOKEN_VARIABLE "LAVENDERDRIFT_TOKEN"

/* ---- Files ---- */

enum ld_status
read_file(const char *path, struct ld_buf *out)
{
	ssize_t n = -1;
	int fd = strcmp(path, "-") == 0 ? STDIN_FILENO
					: open(path, O_RDONLY | O_CLOEXEC);

	if (fd < 0)
		return ld_fail(LD_E_IO, "%s: %s", path, strerror(errno));
	do {
		ld_buf_reserve(out, FILE_MAX_BYTES);
		n = read(fd, out->p + out->len, FILE_MAX_BYTES);
		if (n > 0)
			out->len += (size_t)n;
	} while (n > 0 && out->len <= FILE_MAX_BYTES);
	if (fd != STDIN_FILENO)
		close(fd);
	if (n < 0)
		return ld_fail(LD_E_IO, "%s: %s", path, strerror(errno));
	if (out->len > FILE_MAX_BYTES)
		return ld_fail(LD_E_TOO_LARGE, "%s: larger than %d bytes", path,
		    FILE_MAX_BYTES);
	return LD_OK;
}

/* ---- Options ---- */

static const struct argp_option options[] = {
    {"config", 'c', "FILE", 0,
	"Take a node's address and token from its settings", 0},
    {"operator", 'o', "IP:PORT", 0,
	"Operators' listener of a node; may be repeated", 0},
    {"token-file", 't', "FILE", 0,
	"File with the operator token; otherwise " TOKEN_VARIABLE, 0},
    {"json", 'j', NULL, 0, "Print JSON", 0},
    {0},
};

static void
add_node(struct client *c, const char *address)
{
	if (c->node_count < CLIENT_NODES_MAX)
		c->nodes[c->node_count++] = ld_strdup(address);
}

static void
load_settings(struct argp_state *state, struct client *c, const char *file)
{
	struct ld_settings *s = NULL;
	struct ld_buf faults = {0};

	if (ld_settings_load(file, &s, &faults) != LD_OK) {
		fputs(ld_buf_cstr(&faults), stderr);
		argp_failure(state, EXIT_USAGE, 0, "wrong settings");
		return;
	}
	add_node(c, s->operator_listen.text);
	free(c->token);
	c->token = ld_strdup(s->operator_token);
	ld_settings_free(s);
	ld_buf_free(&faults);
}

static void
load_token_file(struct argp_state *state, struct client *c, const char *file)
{
	struct ld_buf text = {0};

	if (read_file(file, &text) != LD_OK)
		argp_failure(state, EXIT_USAGE, 0, "%s", ld_last_message());
	while (text.len > 0 && text.p[text.len - 1] == '\n')
		text.len--;
	free(c->token);
	c->token = ld_str_dup(ld_buf_str(&text));
	ld_buf_free(&text);
}

static void
finish_options(struct argp_state *state, struct client *c)
{
	const char *env_token = getenv(TOKEN_VARIABLE);

	if (c->node_count == 0)
		argp_error(state, "-c FILE or -o IP:PORT is needed");
	if (c->token == NULL && env_token != NULL)
		c->token = ld_strdup(env_token);
	if (c->token == NULL)
		argp_error(state, "no token: -c, -t or " TOKEN_VARIABLE);
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct client *c = state->input;

	switch (key) {
	case 'c':
		load_settings(state, c, arg);
		return 0;
	case 'o':
		add_node(c, arg);
		return 0;
	case 't':
		load_token_file(state, c, arg);
		return 0;
	case 'j':
		c->json = true;
		return 0;
	case ARGP_KEY_END:
		finish_options(state, c);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

const struct argp client_argp = {
    options, parse_option, NULL, NULL, NULL, NULL, NULL};

const struct argp_child client_children[] = {
    {&client_argp, 0, NULL, 0},
    {0},
};

void
client_fini(struct client *c)
{
	for (size_t i = 0; i < c->node_count; i++)
		free(c->nodes[i]);
	free(c->token);
}

/* ---- Calls ---- */

/** struct blocking_call - call in progress; its end stops @loop */
struct blocking_call {
	struct ld_http_sink sink;
	struct ld_loop *loop;
	struct client_answer *answer;
};

static void
on_body(struct ld_http_sink *s, struct ld_str bytes)
{
	ld_buf_adds(&((struct blocking_call *)s)->answer->body, bytes);
}

static void
on_done(struct ld_http_sink *s, const struct ld_http_result *r)
{
	struct blocking_call *call = (struct blocking_call *)s;

	call->answer->status = r->status;
	call->answer->code = r->code;
	ld_loop_stop(call->loop);
}

void
client_call(const struct client *c, const char *node, const char *method,
    const char *path, const char *header, struct ld_str body,
    struct client_answer *out)
{
	static const struct ld_http_sink_ops ops = {
	    .body = on_body, .done = on_done};
	char token[HEADER_BYTES];
	const char *headers[] = {token, header, NULL};
	struct ld_loop *loop = ld_loop_new();
	struct ld_http *http = ld_http_new(loop);
	struct blocking_call call = {{&ops}, loop, out};
	struct ld_http_request rq = {
	    .method = method, .headers = headers, .body = body};
	struct ld_buf url = {0};

	*out = (struct client_answer){.status = LD_E_INVALID};
	snprintf(token, sizeof(token), "Authorization: Bearer %s", c->token);
	ld_buf_printf(&url, "http://%s%s", node, path);
	rq.url = ld_buf_cstr(&url);
	rq.total_timeout_ms = CALL_TIMEOUT_MS;
	if (ld_http_start(http, &rq, &call.sink) != NULL)
		ld_loop_run(loop);
	ld_buf_free(&url);
	ld_http_free(http);
	ld_loop_free(loop);
}

void
client_answer_fini(struct client_answer *a)
{
	ld_buf_free(&a->body);
}

bool
client_succeeded(const char *node, const struct client_answer *a)
{
	const char *title, *detail;
	json_t *doc;

	if (a->status != LD_OK) {
		fprintf(stderr, "%s: no answer: %s\n", node,
		    ld_status_name(a->status));
		return false;
	}
	if (a->code >= 200 && a->code < 300)
		return true;
	doc = json_loadb(a->body.p, a->body.len, 0, NULL);
	title = json_string_value(json_object_get(doc, "title"));
	detail = json_string_value(json_object_get(doc, "detail"));
	fprintf(stderr, "%s: %ld %s%s%s\n", node, a->code,
	    title != NULL ? title : "refused", detail != NULL ? ": " : "",
	    detail != NULL ? detail : "");
	json_decref(doc);
	return false;
}
