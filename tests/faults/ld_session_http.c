/* HTTP calls and streams of a session. */
#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ld_session.h"
#include "ld_token.h"

#define POLL_US 2000
#define END_BYTES 300 /* shown of a stream that failed */
#define TOKEN_MARK "data: {"

/* ---- One call ---- */

static size_t
add_bytes(char *p, size_t size, size_t n, void *user)
{
	ld_buf_add(user, p, size * n);
	return size * n;
}

static void
copy_header(const struct ld_buf *head, const char *name, char *out, size_t max)
{
	const char *at = head->len > 0 ? strcasestr(head->p, name) : NULL;
	size_t n;

	out[0] = '\0';
	if (at == NULL)
		return;
	at += strlen(name);
	at += strspn(at, ": ");
	n = strcspn(at, "\r\n;");
	snprintf(out, max, "%.*s", (int)n, at);
}

static struct curl_slist *
headers_of(const struct ld_call *c)
{
	struct curl_slist *h = NULL;
	char line[256];

	h = curl_slist_append(h, "Content-Type: application/json");
	h = curl_slist_append(h, "Expect:");
	if (c->key != NULL) {
		snprintf(
		    line, sizeof(line), "Authorization: Bearer %s", c->key);
		h = curl_slist_append(h, line);
	}
	if (c->header != NULL)
		h = curl_slist_append(h, c->header);
	return h;
}

static CURL *
prepare(const struct ld_call *c, struct ld_reply *r, struct curl_slist *headers)
{
	CURL *easy = curl_easy_init();
	char url[512];

	snprintf(url, sizeof(url), "http://%s%s", c->address, c->path);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, add_bytes);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, &r->head);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, add_bytes);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &r->body);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
	    (long)(c->timeout_ms != 0 ? c->timeout_ms : LD_WAIT_MS));
	if (c->body != NULL)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, c->body);
	if (c->method != NULL)
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, c->method);
	return easy;
}

static void
perform(CURL *easy, struct ld_reply *r)
{
	uint64_t start = ld_now_ms();

	r->ok = curl_easy_perform(easy) == CURLE_OK;
	r->ms = ld_now_ms() - start;
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &r->code);
	ld_buf_cstr(&r->head);
	ld_buf_cstr(&r->body);
	copy_header(&r->head, "\nContent-Type", r->type, sizeof(r->type));
	copy_header(
	    &r->head, "\nX-Request-Id", r->request_id, sizeof(r->request_id));
}

void
ld_call(struct ld_session *s, const struct ld_call *c, struct ld_reply *r)
{
	struct curl_slist *headers = headers_of(c);
	CURL *easy;

	memset(r, 0, sizeof(*r));
	easy = prepare(c, r, headers);
	perform(easy, r);
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
}

void
ld_reply_free(struct ld_reply *r)
{
	ld_buf_free(&r->head);
	ld_buf_free(&r->body);
}

json_t *
ld_reply_json(const struct ld_reply *r)
{
	return json_loadb(r->body.p, r->body.len, 0, NULL);
}

json_t *
ld_get_json(struct ld_session *s, const char *address, const char *path)
{
	struct ld_call c = {.address = address, .path = path};
	struct ld_reply r;
	json_t *j;

	ld_call(s, &c, &r);
	j = r.ok ? ld_reply_json(&r) : NULL;
	ld_reply_free(&r);
	return j;
}

void
ld_fault(struct ld_session *s, const char *address, const char *body)
{
	struct ld_call c = {.address = address, .path = "/fault", .body = body};
	struct ld_reply r;

	ld_call(s, &c, &r);
	ld_session_expect(s, r.ok && r.code == 200, "the fault was not set");
	ld_reply_free(&r);
}

/* ---- Streams ---- */

static size_t
on_stream_bytes(char *p, size_t size, size_t n, void *user)
{
	struct ld_stream *st = user;
	size_t from = st->reply.body.len;
	unsigned int found = 0;
	const char *at;

	ld_buf_add(&st->reply.body, p, size * n);
	/* A mark may begin in the bytes before. */
	from =
	    from > sizeof(TOKEN_MARK) - 2 ? from - (sizeof(TOKEN_MARK) - 2) : 0;
	at = st->reply.body.p + from;
	while ((at = memmem(at,
		    (size_t)(st->reply.body.p + st->reply.body.len - at),
		    TOKEN_MARK, sizeof(TOKEN_MARK) - 1)) != NULL) {
		found++;
		at += sizeof(TOKEN_MARK) - 1;
	}
	if (found > 0)
		atomic_store(&st->last_token_ms, ld_now_ms());
	atomic_fetch_add(&st->tokens, found);
	return size * n;
}

static int
on_progress(
    void *user, curl_off_t dt, curl_off_t d, curl_off_t ut, curl_off_t u)
{
	struct ld_stream *st = user;

	return atomic_load(&st->hang_up) ? 1 : 0;
}

static void *
run_stream(void *arg)
{
	struct ld_stream *st = arg;
	struct curl_slist *headers = headers_of(&st->call);
	CURL *easy = prepare(&st->call, &st->reply, headers);

	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_stream_bytes);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, st);
	curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(easy, CURLOPT_XFERINFODATA, st);
	perform(easy, &st->reply);
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	atomic_store(&st->finished, true);
	return NULL;
}

void
ld_stream_start(struct ld_session *s, struct ld_stream *st, const char *address,
    const char *key, const char *prompt, unsigned int tokens)
{
	memset(st, 0, sizeof(*st));
	st->session = s;
	snprintf(st->body, sizeof(st->body),
	    "{\"model\":\"llama-70b\",\"prompt\":\"%s\",\"max_tokens\":%u,"
	    "\"stream\":true}",
	    prompt, tokens);
	st->call = (struct ld_call){
	    .address = address,
	    .path = "/v1/completions",
	    .key = key,
	    .body = st->body,
	    .timeout_ms = 3 * (uint64_t)LD_WAIT_MS,
	};
	pthread_create(&st->thread, NULL, run_stream, st);
}

bool
ld_stream_wait_tokens(struct ld_stream *st, unsigned int n, uint64_t ms)
{
	uint64_t end = ld_now_ms() + ms;

	while (atomic_load(&st->tokens) < n) {
		if (ld_now_ms() > end || atomic_load(&st->finished))
			return atomic_load(&st->tokens) >= n;
		usleep(POLL_US);
	}
	return true;
}

void
ld_stream_join(struct ld_stream *st)
{
	pthread_join(st->thread, NULL);
}

void
ld_stream_free(struct ld_stream *st)
{
	ld_reply_free(&st->reply);
}

const char *
ld_stream_end(const struct ld_stream *st)
{
	size_t len = st->reply.body.len;

	if (len == 0)
		return "";
	return st->reply.body.p + (len > END_BYTES ? len - END_BYTES : 0);
}

/* ---- Content ---- */

void
ld_expected_text(const char *prompt, unsigned int tokens, struct ld_buf *out)
{
	uint64_t hash = ld_prompt_hash(ld_str_c(prompt));
	char token[LD_TOKEN_MAX];

	for (unsigned int i = 0; i < tokens; i++)
		ld_buf_add(out, token, ld_token(hash, i, token));
	ld_buf_cstr(out);
}

static const char *
event_text(json_t *event)
{
	json_t *choice = json_array_get(json_object_get(event, "choices"), 0);
	json_t *text = json_object_get(choice, "text");

	if (text == NULL)
		text = json_object_get(
		    json_object_get(choice, "delta"), "content");
	return json_string_value(text);
}

void
ld_stream_text(struct ld_str body, struct ld_buf *out, bool *done)
{
	const char *p = body.p;
	const char *end = body.p + body.len;

	*done = false;
	while (p != NULL && p < end) {
		const char *line_end = memchr(p, '\n', (size_t)(end - p));
		size_t n = (size_t)((line_end != NULL ? line_end : end) - p);
		json_t *event;

		if (n == 12 && memcmp(p, "data: [DONE]", 12) == 0)
			*done = true;
		if (n > 6 && memcmp(p, "data: {", 7) == 0) {
			event = json_loadb(p + 6, n - 6, 0, NULL);
			ld_buf_adds(out, ld_str_c(event_text(event)));
			json_decref(event);
		}
		p = line_end != NULL ? line_end + 1 : NULL;
	}
	ld_buf_cstr(out);
}

/* An error that reports "not run" after tokens arrived is untrue. */
static const char *
partial_verdict(const struct ld_stream *st, size_t text_len)
{
	const char *body = st->reply.body.p;

	if (strstr(body, "\"ran\":\"no\"") != NULL)
		return text_len > 0 ? "untrue" : "error";
	return strstr(body, "\"ran\"") != NULL ? "error" : "cut";
}

const char *
ld_stream_check(struct ld_stream *st, const char *prompt, unsigned int tokens)
{
	struct ld_buf want = {0}, got = {0};
	const char *verdict = "wrong";
	bool done;

	ld_expected_text(prompt, tokens, &want);
	ld_stream_text(ld_buf_str(&st->reply.body), &got, &done);
	if (done && st->reply.code == 200 && want.len == got.len &&
	    memcmp(want.p, got.p, got.len) == 0)
		verdict = "whole";
	else if (!done && got.len <= want.len &&
	    memcmp(want.p, got.p, got.len) == 0)
		verdict = partial_verdict(st, got.len);
	ld_buf_free(&want);
	ld_buf_free(&got);
	return verdict;
}
