/*
 * Load generator for bench/path.sh: keeps N requests in progress for a bounded
 * time and prints one JSON line. Uses plain sockets with epoll, so that its own
 * cost is small and does not depend on the target.
 */
#include <argp.h>
#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ld_common.h"
#include "ld_loop.h"

#define TARGETS_MAX 64
#define THREADS_MAX 4
#define HEAD_MAX 4096
#define READ_BYTES 65536
#define EVENTS_MAX 512
#define ERRORS_MAX 2000 /* a thread stops beyond this */
#define WAIT_MS 1
#define US_PER_S 1000000ULL
#define US_PER_MS 1000ULL
#define TOKEN_MARK "data: {"
#define TOKEN_MARK_LEN (sizeof(TOKEN_MARK) - 1)
#define END_MARK "\r\n0\r\n\r\n"
#define END_MARK_LEN (sizeof(END_MARK) - 1)

static struct options {
	const char *name;
	struct sockaddr_in targets[TARGETS_MAX];
	size_t target_count;
	const char *path;
	const char *method;
	const char *key;
	uint64_t streams;
	uint64_t tokens;
	uint64_t threads;
	uint64_t warmup_us;
	uint64_t measure_us;
	bool whole;
} options = {
    .name = "load",
    .path = "/v1/completions",
    .method = "POST",
    .streams = 1,
    .tokens = 16,
    .threads = 1,
    .warmup_us = 500 * US_PER_MS,
    .measure_us = 2 * US_PER_S,
};

/* struct conn - one connection with at most one request on it */
struct conn {
	int fd; /* -1: to be opened at start_us */
	uint64_t start_us;
	uint64_t sent_us;
	size_t target;
	char head[HEAD_MAX];
	size_t head_len;
	char tail[TOKEN_MARK_LEN]; /* last bytes of the body */
	size_t tail_len;
	uint64_t body_left; /* left of Content-Length */
	bool in_body;
	bool chunked;
	bool first_seen;
};

/* struct worker - one thread with its share of the connections */
struct worker {
	pthread_t thread;
	int epoll;
	struct conn *conns;
	size_t conn_count;
	uint64_t begin_us; /* of the measured window */
	uint64_t end_us;
	uint64_t requests;
	uint64_t tokens;
	uint64_t errors;
	uint32_t *first_us;
	size_t first_count;
	size_t first_cap;
};

static bool
in_window(const struct worker *w, uint64_t now)
{
	return now >= w->begin_us && now < w->end_us;
}

/* ---- One request ---- */

static void
send_request(struct worker *w, struct conn *c)
{
	struct ld_buf b = {0};
	char body[256] = "";

	if (strcmp(options.method, "POST") == 0)
		snprintf(body, sizeof(body),
		    "{\"model\":\"llama-70b\",\"prompt\":\"Lot %zu\","
		    "\"max_tokens\":%llu,\"stream\":%s}",
		    (size_t)(c - w->conns), (unsigned long long)options.tokens,
		    options.whole ? "false" : "true");
	ld_buf_printf(&b,
	    "%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
	    options.method, options.path, options.key, strlen(body), body);
	c->head_len = 0;
	c->tail_len = 0;
	c->body_left = 0;
	c->in_body = false;
	c->chunked = false;
	c->first_seen = false;
	c->sent_us = ld_loop_now_us();
	/* A request is far smaller than an empty socket buffer. */
	if (send(c->fd, b.p, b.len, MSG_NOSIGNAL) != (ssize_t)b.len)
		w->errors++;
	ld_buf_free(&b);
}

static void
close_conn(struct conn *c, uint64_t now)
{
	close(c->fd);
	c->fd = -1;
	c->start_us = now;
}

static void
fail(struct worker *w, struct conn *c, uint64_t now)
{
	if (in_window(w, now))
		w->errors++;
	close_conn(c, now + 10 * US_PER_MS);
}

static void
open_conn(struct worker *w, struct conn *c)
{
	struct epoll_event ev = {.events = EPOLLIN, .data.ptr = c};
	const struct sockaddr_in *to = &options.targets[c->target];
	int one = 1;

	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (c->fd < 0 ||
	    connect(c->fd, (const struct sockaddr *)to, sizeof(*to)) != 0) {
		w->errors++;
		close_conn(c, ld_loop_now_us() + 10 * US_PER_MS);
		return;
	}
	setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	epoll_ctl(w->epoll, EPOLL_CTL_ADD, c->fd, &ev);
	send_request(w, c);
}

static void
note_first(struct worker *w, struct conn *c, uint64_t now)
{
	if (c->first_seen)
		return;
	c->first_seen = true;
	if (!in_window(w, c->sent_us) || now >= w->end_us)
		return;
	if (w->first_count == w->first_cap) {
		w->first_cap = w->first_cap > 0 ? w->first_cap * 2 : 1024;
		w->first_us = ld_realloc(
		    w->first_us, w->first_cap * sizeof(*w->first_us));
	}
	w->first_us[w->first_count++] = (uint32_t)(now - c->sent_us);
}

static void
finish(struct worker *w, struct conn *c, uint64_t now)
{
	if (in_window(w, now))
		w->requests++;
	if (now < w->end_us)
		send_request(w, c);
	else
		close_conn(c, UINT64_MAX);
}

/* Counts stream tokens, including marks split across two reads. */
static uint64_t
count_tokens(struct conn *c, const char *p, size_t n)
{
	static _Thread_local char scan[TOKEN_MARK_LEN + READ_BYTES];
	size_t keep = TOKEN_MARK_LEN - 1;
	size_t len = c->tail_len + n;
	uint64_t found = 0;
	const char *at = scan;

	memcpy(scan, c->tail, c->tail_len);
	memcpy(scan + c->tail_len, p, n);
	while ((at = memmem(at, (size_t)(scan + len - at), TOKEN_MARK,
		    TOKEN_MARK_LEN)) != NULL) {
		found++;
		at += TOKEN_MARK_LEN;
	}
	c->tail_len = len < keep ? len : keep;
	memcpy(c->tail, scan + len - c->tail_len, c->tail_len);
	return found;
}

/* The tail is one byte short of the mark: its "\r" is not compared. */
static bool
ends_stream(const struct conn *c)
{
	return c->tail_len == END_MARK_LEN - 1 &&
	    memcmp(c->tail, END_MARK + 1, END_MARK_LEN - 1) == 0;
}

static void
on_body(struct worker *w, struct conn *c, const char *p, size_t n, uint64_t now)
{
	uint64_t tokens;

	if (n == 0)
		return;
	note_first(w, c, now);
	if (!c->chunked) {
		c->body_left -= n < c->body_left ? n : c->body_left;
		if (c->body_left == 0)
			finish(w, c, now);
		return;
	}
	tokens = count_tokens(c, p, n);
	if (in_window(w, now))
		w->tokens += tokens;
	if (ends_stream(c))
		finish(w, c, now);
}

/* Reads the head; returns false unless the response is a success. */
static bool
parse_head(struct conn *c)
{
	const char *length;

	c->head[c->head_len] = '\0';
	if (strncmp(c->head, "HTTP/1.1 200", 12) != 0)
		return false;
	c->chunked =
	    strcasestr(c->head, "\nTransfer-Encoding: chunked") != NULL;
	length = strcasestr(c->head, "\nContent-Length:");
	c->body_left = length != NULL ? strtoull(length + 16, NULL, 10) : 0;
	return c->chunked || length != NULL;
}

static void
on_bytes(struct worker *w, struct conn *c, const char *p, size_t n)
{
	uint64_t now = ld_loop_now_us();
	size_t take, old = c->head_len;
	char *end;

	if (c->in_body) {
		on_body(w, c, p, n, now);
		return;
	}
	take = n < HEAD_MAX - 1 - old ? n : HEAD_MAX - 1 - old;
	memcpy(c->head + old, p, take);
	c->head_len += take;
	end = memmem(c->head, c->head_len, "\r\n\r\n", 4);
	if (end == NULL) {
		if (c->head_len == HEAD_MAX - 1)
			fail(w, c, now);
		return;
	}
	c->in_body = true;
	end += 4;
	take = (size_t)(end - c->head) - old; /* bytes of p in the head */
	c->head_len = (size_t)(end - c->head);
	if (!parse_head(c))
		fail(w, c, now);
	else
		on_body(w, c, p + take, n - take, now);
}

/* ---- One thread ---- */

static void
on_readable(struct worker *w, struct conn *c)
{
	static _Thread_local char bytes[READ_BYTES];
	ssize_t n = recv(c->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	if (n > 0)
		on_bytes(w, c, bytes, (size_t)n);
	else if (n == 0 || errno != EAGAIN)
		fail(w, c, ld_loop_now_us());
}

static void
open_due(struct worker *w, uint64_t now)
{
	for (size_t i = 0; i < w->conn_count; i++)
		if (w->conns[i].fd < 0 && w->conns[i].start_us <= now)
			open_conn(w, &w->conns[i]);
}

static void *
run_worker(void *arg)
{
	struct worker *w = arg;
	struct epoll_event events[EVENTS_MAX];
	uint64_t now;

	while ((now = ld_loop_now_us()) < w->end_us && w->errors < ERRORS_MAX) {
		int n;

		open_due(w, now);
		n = epoll_wait(w->epoll, events, EVENTS_MAX, WAIT_MS);
		for (int i = 0; i < n; i++)
			on_readable(w, events[i].data.ptr);
	}
	return NULL;
}

static void
start_worker(struct worker *w, size_t index, uint64_t start_us)
{
	size_t share = options.streams / options.threads;

	assert(options.target_count > 0);
	w->epoll = epoll_create1(EPOLL_CLOEXEC);
	w->conn_count = share > 0 ? share : 1;
	w->conns = ld_alloc(w->conn_count * sizeof(*w->conns));
	w->begin_us = start_us + options.warmup_us;
	w->end_us = w->begin_us + options.measure_us;
	for (size_t i = 0; i < w->conn_count; i++) {
		w->conns[i].fd = -1;
		w->conns[i].target =
		    (i * options.threads + index) % options.target_count;
		/* Spread over the warm-up to avoid synchronized requests. */
		w->conns[i].start_us =
		    start_us + i * options.warmup_us / w->conn_count;
	}
	pthread_create(&w->thread, NULL, run_worker, w);
}

/* ---- Result ---- */

static int
by_value(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

static uint32_t
percentile(const uint32_t *v, size_t n, unsigned int percent)
{
	return n > 0 ? v[(n - 1) * percent / 100] : 0;
}

static void
print_result(struct worker *workers)
{
	double s = (double)options.measure_us / (double)US_PER_S;
	uint64_t requests = 0, tokens = 0, errors = 0;
	uint32_t *all = ld_alloc(sizeof(*all));
	size_t n = 0;

	for (size_t i = 0; i < options.threads; i++) {
		struct worker *w = &workers[i];

		requests += w->requests;
		tokens += w->tokens;
		errors += w->errors;
		all = ld_realloc(all, (n + w->first_count + 1) * sizeof(*all));
		for (size_t k = 0; k < w->first_count; k++)
			all[n++] = w->first_us[k];
	}
	qsort(all, n, sizeof(*all), by_value);
	printf("{\"name\":\"%s\",\"streams\":%llu,\"requests_per_s\":%.1f,"
	       "\"tokens_per_s\":%.0f,\"first_byte_us\":{\"p50\":%u,\"p95\":%u,"
	       "\"p99\":%u},\"samples\":%zu,\"errors\":%llu}\n",
	    options.name, (unsigned long long)options.streams,
	    (double)requests / s, (double)tokens / s, percentile(all, n, 50),
	    percentile(all, n, 95), percentile(all, n, 99), n,
	    (unsigned long long)errors);
	free(all);
}

/* ---- Command line ---- */

static error_t
add_target(char *text)
{
	struct sockaddr_in *t;
	char *colon = strchr(text, ':');

	if (colon == NULL || options.target_count == TARGETS_MAX)
		return EINVAL;
	*colon = '\0';
	t = &options.targets[options.target_count++];
	t->sin_family = AF_INET;
	t->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return inet_pton(AF_INET, text, &t->sin_addr) == 1 ? 0 : EINVAL;
}

static error_t
parse_opt(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case 'n':
		options.name = arg;
		return 0;
	case 't':
		return add_target(arg);
	case 'p':
		options.path = arg;
		return 0;
	case 'm':
		options.method = arg;
		return 0;
	case 'k':
		options.key = arg;
		return 0;
	case 's':
		options.streams = strtoull(arg, NULL, 10);
		return 0;
	case 'o':
		options.tokens = strtoull(arg, NULL, 10);
		return 0;
	case 'j':
		options.threads = strtoull(arg, NULL, 10);
		return options.threads >= 1 && options.threads <= THREADS_MAX
		    ? 0
		    : EINVAL;
	case 'u':
		options.warmup_us = strtoull(arg, NULL, 10) * US_PER_MS;
		return 0;
	case 'd':
		options.measure_us = strtoull(arg, NULL, 10) * US_PER_MS;
		return 0;
	case 'w':
		options.whole = true;
		return 0;
	case ARGP_KEY_END:
		return options.target_count > 0 ? 0 : EINVAL;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
main(int argc, char **argv)
{
	static const struct argp_option table[] = {
	    {"name", 'n', "NAME", 0, "name of the run in the output", 0},
	    {"to", 't', "IP:PORT", 0, "where to; may be given often", 0},
	    {"path", 'p', "PATH", 0, "request path", 0},
	    {"method", 'm', "METHOD", 0, "POST or GET", 0},
	    {"key", 'k', "KEY", 0, "the caller's key", 0},
	    {"streams", 's', "N", 0, "requests in progress", 0},
	    {"tokens", 'o', "N", 0, "tokens of one answer", 0},
	    {"threads", 'j', "N", 0, "threads", 0},
	    {"warmup-ms", 'u', "MS", 0, "time before the measured window", 0},
	    {"measure-ms", 'd', "MS", 0, "measured window", 0},
	    {"whole", 'w', NULL, 0, "ask for whole answers", 0},
	    {0},
	};
	static const struct argp argp = {.options = table, .parser = parse_opt};
	static struct worker workers[THREADS_MAX];
	uint64_t start;

	options.key = "none";
	if (argp_parse(&argp, argc, argv, 0, NULL, NULL) != 0)
		return 2;
	start = ld_loop_now_us();
	for (size_t i = 0; i < options.threads; i++)
		start_worker(&workers[i], i, start);
	for (size_t i = 0; i < options.threads; i++)
		pthread_join(workers[i].thread, NULL);
	print_result(workers);
	return 0;
}
