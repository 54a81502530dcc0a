/* See stand.h. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "stand.h"

/* ---- Time and record ---- */

static uint64_t start_ms;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static uint64_t
clock_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

uint64_t
now_ms(void)
{
	return clock_ms() - start_ms;
}

void
sleep_ms(int ms)
{
	struct timespec t = {ms / 1000, (long)(ms % 1000) * 1000000};

	while (nanosleep(&t, &t) != 0 && errno == EINTR)
		;
}

void
record_open(const char *path)
{
	start_ms = clock_ms();
	signal(SIGPIPE, SIG_IGN);
	record_file = fopen(path, "w");
	if (record_file == NULL)
		exit(2);
	record("trouble=%d", trouble());
}

void
record(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%7.3f ", (double)now_ms() / 1000);
	va_start(ap, fmt);
	vfprintf(record_file, fmt, ap);
	va_end(ap);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

bool
trouble(void)
{
	const char *v = getenv("TROUBLE");

	return v == NULL || strcmp(v, "0") != 0;
}

static pid_t children[64];
static int child_count;

void
finish(int code)
{
	for (int i = 0; i < child_count; i++)
		if (children[i] > 0 && waitpid(children[i], NULL, WNOHANG) == 0) {
			kill(children[i], SIGCONT);
			kill(children[i], SIGKILL);
			waitpid(children[i], NULL, 0);
		}
	record("exit %d", code);
	printf("%s (exit %d)\n",
	    code == 0 ? "the rule held" : code == 1 ? "the rule was broken" : "not run",
	    code);
	fflush(NULL);
	_exit(code);
}

void
unfit(const char *why)
{
	record("not run: %s", why);
	finish(2);
}

/* ---- Sockets ---- */

static struct sockaddr_in
loopback(int port)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return a;
}

/* Below the ports of outgoing connections. */
int
free_port(void)
{
	static int next;

	if (next == 0)
		next = 15000 + (int)getpid() * 61 % 15000;
	for (int tries = 0; tries < 2000; tries++) {
		struct sockaddr_in a;
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
		bool ok;

		next = next < 31000 ? next + 1 : 15000;
		a = loopback(next);
		ok = bind(fd, (struct sockaddr *)&a, sizeof(a)) == 0 &&
		    bind(udp, (struct sockaddr *)&a, sizeof(a)) == 0;
		close(fd);
		close(udp);
		if (ok)
			return next;
	}
	unfit("no free port");
}

bool
send_all(int fd, const void *p, size_t n)
{
	while (n > 0) {
		ssize_t k = send(fd, p, n, MSG_NOSIGNAL);

		if (k < 0 && errno == EINTR)
			continue;
		if (k <= 0)
			return false;
		p = (const char *)p + k;
		n -= (size_t)k;
	}
	return true;
}

bool
sendf(int fd, const char *fmt, ...)
{
	char *text = NULL;
	va_list ap;
	bool ok;
	int n;

	va_start(ap, fmt);
	n = vasprintf(&text, fmt, ap);
	va_end(ap);
	ok = send_all(fd, text, (size_t)n);
	free(text);
	return ok;
}

/* ---- HTTP ---- */

struct line_buf {
	char *p;
	size_t len, cap;
};

static void
add(struct line_buf *b, const char *p, size_t n)
{
	if (b->len + n + 1 > b->cap) {
		b->cap = 2 * (b->len + n + 1);
		b->p = realloc(b->p, b->cap);
	}
	memcpy(b->p + b->len, p, n);
	b->len += n;
	b->p[b->len] = '\0';
}

static bool
head_field(const char *head, const char *name, char *out, size_t size)
{
	size_t n = strlen(name);

	for (const char *p = head; p != NULL; p = strstr(p, "\r\n")) {
		if (*p == '\r')
			p += 2;
		if (strncasecmp(p, name, n) != 0 || p[n] != ':')
			continue;
		p += n + 1;
		while (*p == ' ')
			p++;
		snprintf(out, size, "%.*s", (int)strcspn(p, "\r\n"), p);
		return true;
	}
	return false;
}

bool
field(const struct req *q, const char *name, char *out, size_t size)
{
	return head_field(q->head, name, out, size);
}

int
field_count(const struct req *q)
{
	int n = 0;

	for (const char *p = q->head; (p = strstr(p, "\r\n")) != NULL; p += 2)
		n++;
	return n;
}

/* Reads more bytes; false at the end or after @timeout_ms. */
static bool
read_more(int fd, struct line_buf *b, int timeout_ms)
{
	struct pollfd p = {.fd = fd, .events = POLLIN};
	char bytes[16384];
	ssize_t n;

	if (poll(&p, 1, timeout_ms) <= 0)
		return false;
	n = recv(fd, bytes, sizeof(bytes), 0);
	if (n <= 0)
		return false;
	add(b, bytes, (size_t)n);
	return true;
}

struct conn {
	int fd;
	handler_fn fn;
	void *arg;
};

static void
drop(struct line_buf *b, size_t n)
{
	memmove(b->p, b->p + n, b->len - n + 1);
	b->len -= n;
}

static bool
serve_one(struct conn *c, struct line_buf *b)
{
	struct req q = {.fd = c->fd};
	char text[64] = "";
	size_t need = 0;
	char *end;
	bool ok;

	while (b->p == NULL || (end = strstr(b->p, "\r\n\r\n")) == NULL)
		if (!read_more(c->fd, b, 60000))
			return false;
	if (sscanf(b->p, "%15s %4095s", q.method, q.target) != 2)
		return false;
	q.head = strndup(b->p, (size_t)(end - b->p) + 2);
	memmove(q.head, strstr(q.head, "\r\n") + 2, strlen(strstr(q.head, "\r\n") + 2) + 1);
	drop(b, (size_t)(end - b->p) + 4);
	if (head_field(q.head, "Content-Length", text, sizeof(text)))
		need = strtoul(text, NULL, 10);
	while (b->len < need)
		if (!read_more(c->fd, b, 60000)) {
			free(q.head);
			return false;
		}
	q.body = strndup(b->p != NULL ? b->p : "", need);
	q.body_len = need;
	if (need > 0)
		drop(b, need);
	ok = c->fn(&q, c->arg);
	free(q.head);
	free(q.body);
	return ok;
}

static void *
serve_conn(void *arg)
{
	struct conn c = *(struct conn *)arg;
	struct line_buf b = {0};
	int on = 1;

	free(arg);
	setsockopt(c.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	while (serve_one(&c, &b))
		;
	close(c.fd);
	free(b.p);
	return NULL;
}

static void
start_thread(void *(*fn)(void *), void *arg)
{
	pthread_t t;
	pthread_attr_t a;

	pthread_attr_init(&a);
	pthread_attr_setstacksize(&a, 256 * 1024);
	if (pthread_create(&t, &a, fn, arg) != 0)
		unfit("no thread");
	pthread_detach(t);
	pthread_attr_destroy(&a);
}

static void *
accept_loop(void *arg)
{
	struct conn l = *(struct conn *)arg;

	free(arg);
	for (;;) {
		int fd = accept4(l.fd, NULL, NULL, SOCK_CLOEXEC);
		struct conn *c;

		if (fd < 0 && errno == EINVAL)
			return NULL; /* shut down */
		if (fd < 0)
			continue;
		c = malloc(sizeof(*c));
		*c = (struct conn){fd, l.fn, l.arg};
		start_thread(serve_conn, c);
	}
	return NULL;
}

int
listen_on(int port, handler_fn fn, void *arg)
{
	struct sockaddr_in a = loopback(port);
	struct conn *l = malloc(sizeof(*l));
	int on = 1;

	*l = (struct conn){socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), fn, arg};
	setsockopt(l->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(l->fd, (struct sockaddr *)&a, sizeof(a)) != 0 || listen(l->fd, 512) != 0)
		unfit("a port is in use");
	on = l->fd;
	start_thread(accept_loop, l);
	return on;
}

void
connections_reset(int port)
{
	struct linger l = {.l_onoff = 1};

	for (int fd = 3; fd < 4096; fd++) {
		struct sockaddr_in own = {0}, peer;
		socklen_t n = sizeof(own), m = sizeof(peer);

		if (getsockname(fd, (struct sockaddr *)&own, &n) != 0 ||
		    own.sin_family != AF_INET || ntohs(own.sin_port) != port ||
		    getpeername(fd, (struct sockaddr *)&peer, &m) != 0)
			continue;
		/* Its thread closes it, with a reset. */
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
		shutdown(fd, SHUT_RD);
	}
}

void
listen_end(int fd)
{
	shutdown(fd, SHUT_RDWR);
	close(fd);
}

/* ---- The store ---- */

int (*store_view_port)(int port, int view);

#define ITEMS_MAX 512
#define EVENTS_MAX 16384
#define LEASES_MAX 4096

struct item {
	char key[201];
	char *value; /* base64 */
	long revision, created, lease;
};

struct event {
	struct item item; /* value NULL: deleted */
};

struct lease {
	long id;
	long ttl_ms;
	uint64_t end_ms;
};

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct item items[ITEMS_MAX];
	int item_count;
	struct event *events;
	int event_count;
	struct lease leases[LEASES_MAX];
	int lease_count;
	long revision, next_lease, compacted;
	int era;
	bool away;
	bool view_away[STORE_VIEWS]; /* those that a relay reads are cut off */
	/* The copy. */
	struct item copy[ITEMS_MAX];
	int copy_count;
	struct lease copy_leases[LEASES_MAX];
	int copy_lease_count;
	long copy_revision;
} st = {.lock = PTHREAD_MUTEX_INITIALIZER, .changed = PTHREAD_COND_INITIALIZER,
    .revision = 100, .next_lease = 7000};

static char *
base64(const char *s, size_t n)
{
	static const char digits[] =
	    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	char *out = malloc(4 * (n / 3 + 1) + 1), *p = out;

	for (size_t i = 0; i < n; i += 3) {
		uint32_t v = (uint32_t)(unsigned char)s[i] << 16;

		v |= i + 1 < n ? (uint32_t)(unsigned char)s[i + 1] << 8 : 0;
		v |= i + 2 < n ? (uint32_t)(unsigned char)s[i + 2] : 0;
		*p++ = digits[v >> 18 & 63];
		*p++ = digits[v >> 12 & 63];
		*p++ = i + 1 < n ? digits[v >> 6 & 63] : '=';
		*p++ = i + 2 < n ? digits[v & 63] : '=';
	}
	*p = '\0';
	return out;
}

static char *
unbase64(const char *s)
{
	static const char digits[] =
	    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	char *out = malloc(strlen(s) + 1), *p = out;
	uint32_t v = 0;
	int bits = 0;

	for (; *s != '\0' && *s != '='; s++) {
		v = v << 6 | (uint32_t)(strchr(digits, *s) - digits);
		bits += 6;
		if (bits >= 8) {
			bits -= 8;
			*p++ = (char)(v >> bits);
		}
	}
	*p = '\0';
	return out;
}

/* The value as a relay reads it: servers may be at an address of its own. */
static char *
view_value(const char *value, int view)
{
	static const char mark[] = "\"address\":\"127.0.0.1:";
	char *text = unbase64(value), *at = strstr(text, mark), *out;
	int port, own;

	if (view == 0 || store_view_port == NULL || at == NULL) {
		free(text);
		return strdup(value);
	}
	port = atoi(at + sizeof(mark) - 1);
	own = store_view_port(port, view);
	at[sizeof(mark) - 1] = '\0';
	if (asprintf(&out, "%s%d%s", text, own,
		at + sizeof(mark) + strcspn(at + sizeof(mark), "\"")) < 0)
		unfit("no memory");
	free(text);
	text = base64(out, strlen(out));
	free(out);
	return text;
}

static struct item *
find_item(const char *key)
{
	for (int i = 0; i < st.item_count; i++)
		if (strcmp(st.items[i].key, key) == 0)
			return &st.items[i];
	return NULL;
}

static void
add_event(const struct item *it, bool deleted)
{
	struct event *e;

	if (st.events == NULL)
		st.events = calloc(EVENTS_MAX, sizeof(*st.events));
	if (st.event_count == EVENTS_MAX)
		unfit("the store's log is full");
	e = &st.events[st.event_count++];
	e->item = *it;
	e->item.value = deleted ? NULL : strdup(it->value);
}

static void
put_item(const char *key, const char *value, long lease)
{
	struct item *it = find_item(key);

	if (it == NULL) {
		if (st.item_count == ITEMS_MAX)
			unfit("the store is full");
		it = &st.items[st.item_count++];
		*it = (struct item){.created = st.revision};
		snprintf(it->key, sizeof(it->key), "%s", key);
	}
	free(it->value);
	it->value = strdup(value);
	it->revision = st.revision;
	it->lease = lease;
	add_event(it, false);
}

static void
delete_item(struct item *it)
{
	it->revision = st.revision;
	add_event(it, true);
	free(it->value);
	*it = st.items[--st.item_count];
}

static struct lease *
find_lease(long id)
{
	for (int i = 0; i < st.lease_count; i++)
		if (st.leases[i].id == id)
			return &st.leases[i];
	return NULL;
}

static void
end_lease(struct lease *l)
{
	long id = l->id;

	*l = st.leases[--st.lease_count];
	for (int i = 0; i < st.item_count;)
		if (st.items[i].lease == id) {
			st.revision++;
			delete_item(&st.items[i]);
		} else {
			i++;
		}
	pthread_cond_broadcast(&st.changed);
}

static void
expire(void)
{
	for (int i = 0; i < st.lease_count;)
		if (clock_ms() >= st.leases[i].end_ms)
			end_lease(&st.leases[i]);
		else
			i++;
}

static void *
expire_loop(void *arg)
{
	for (;;) {
		sleep_ms(10);
		pthread_mutex_lock(&st.lock);
		if (!st.away) /* leases pause while it is away */
			expire();
		pthread_mutex_unlock(&st.lock);
	}
	return NULL;
}

void
store_put(const char *key, const char *value)
{
	char *text = base64(value, strlen(value));

	pthread_mutex_lock(&st.lock);
	st.revision++;
	put_item(key, text, 0);
	pthread_cond_broadcast(&st.changed);
	pthread_mutex_unlock(&st.lock);
	free(text);
}

void
store_delete(const char *key)
{
	struct item *it;

	pthread_mutex_lock(&st.lock);
	it = find_item(key);
	if (it != NULL) {
		st.revision++;
		delete_item(it);
	}
	pthread_cond_broadcast(&st.changed);
	pthread_mutex_unlock(&st.lock);
}

void
store_copy(void)
{
	pthread_mutex_lock(&st.lock);
	st.copy_count = st.item_count;
	for (int i = 0; i < st.item_count; i++) {
		st.copy[i] = st.items[i];
		st.copy[i].value = strdup(st.items[i].value);
	}
	memcpy(st.copy_leases, st.leases, sizeof(st.leases));
	st.copy_lease_count = st.lease_count;
	st.copy_revision = st.revision;
	pthread_mutex_unlock(&st.lock);
	record("store: a copy is kept, revision %ld", st.revision);
}

void
store_away(bool away)
{
	pthread_mutex_lock(&st.lock);
	st.away = away;
	pthread_cond_broadcast(&st.changed);
	pthread_mutex_unlock(&st.lock);
	record("store: %s", away ? "away" : "back");
}

void
store_restore(void)
{
	pthread_mutex_lock(&st.lock);
	for (int i = 0; i < st.item_count; i++)
		free(st.items[i].value);
	st.item_count = st.copy_count;
	for (int i = 0; i < st.copy_count; i++) {
		st.items[i] = st.copy[i];
		st.items[i].value = strdup(st.copy[i].value);
	}
	memcpy(st.leases, st.copy_leases, sizeof(st.leases));
	st.lease_count = st.copy_lease_count;
	for (int i = 0; i < st.lease_count; i++)
		st.leases[i].end_ms = clock_ms() + (uint64_t)st.leases[i].ttl_ms;
	st.event_count = 0;
	st.revision = st.compacted = st.copy_revision;
	st.era++;
	record("store: restored from the copy, revision %ld, era %d", st.revision, st.era);
	pthread_mutex_unlock(&st.lock);
}

static bool
answer(int fd, int code, json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT);
	bool ok = sendf(fd,
	    "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: %d\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    code, st.era, strlen(text), text);

	free(text);
	json_decref(o);
	return ok;
}

static json_t *
item_json(const struct item *it, int view)
{
	char *value = view_value(it->value, view);
	json_t *o = json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", it->key, "value", value,
	    "revision", (json_int_t)it->revision, "created", (json_int_t)it->created,
	    "lease", (json_int_t)it->lease);

	free(value);
	return o;
}

static bool
query(const char *target, const char *name, char *out, size_t size)
{
	char pattern[64];
	const char *p;
	size_t n = 0;

	snprintf(pattern, sizeof(pattern), "%s=", name);
	p = strchr(target, '?');
	while (p != NULL && strncmp(p + 1, pattern, strlen(pattern)) != 0)
		p = strchr(p + 1, '&');
	if (p == NULL)
		return false;
	for (p += 1 + strlen(pattern); *p != '\0' && *p != '&' && n + 1 < size; p++) {
		unsigned int c = (unsigned char)*p;

		if (*p == '%' && sscanf(p + 1, "%2x", &c) == 1)
			p += 2;
		out[n++] = (char)c;
	}
	out[n] = '\0';
	return true;
}

static bool
kv_range(struct req *q, int view)
{
	char prefix[256] = "";
	json_t *list = json_array();

	query(q->target, "prefix", prefix, sizeof(prefix));
	for (int i = 0; i < st.item_count; i++)
		if (strncmp(st.items[i].key, prefix, strlen(prefix)) == 0)
			json_array_append_new(list, item_json(&st.items[i], view));
	return answer(q->fd, 200,
	    json_pack("{s:o,s:b,s:I}", "items", list, "has_more", 0, "at",
		(json_int_t)st.revision));
}

static bool
kv_key(struct req *q, int view)
{
	char key[256] = "";
	struct item *it;
	json_t *o;

	query(q->target, "key", key, sizeof(key));
	it = find_item(key);
	if (it == NULL)
		return answer(q->fd, 404, json_object());
	o = item_json(it, view);
	json_object_set_new(o, "at", json_integer(st.revision));
	return answer(q->fd, 200, o);
}

static bool
kv_watch(struct req *q, int view)
{
	char prefix[256] = "", text[64] = "0";
	uint64_t end_ms = clock_ms();
	long after;
	int era = st.era;

	query(q->target, "prefix", prefix, sizeof(prefix));
	query(q->target, "after", text, sizeof(text));
	after = atol(text);
	if (query(q->target, "wait_ms", text, sizeof(text)))
		end_ms += (uint64_t)atol(text);
	for (;;) {
		json_t *list = json_array();
		struct timespec t;

		if (st.away || st.view_away[view] || era != st.era) {
			json_decref(list);
			return false;
		}
		if (after < st.compacted || after > st.revision) {
			json_decref(list);
			return answer(q->fd, 410, json_object());
		}
		for (int i = 0; i < st.event_count; i++) {
			const struct item *it = &st.events[i].item;

			if (it->revision <= after ||
			    strncmp(it->key, prefix, strlen(prefix)) != 0)
				continue;
			json_array_append_new(list,
			    it->value != NULL
				? item_json(it, view)
				: json_pack("{s:s,s:I,s:b}", "key", it->key, "revision",
				      (json_int_t)it->revision, "deleted", 1));
		}
		if (json_array_size(list) > 0 || clock_ms() >= end_ms)
			return answer(q->fd, 200,
			    json_pack("{s:o,s:I}", "events", list, "at",
				(json_int_t)st.revision));
		json_decref(list);
		clock_gettime(CLOCK_REALTIME, &t);
		t.tv_nsec += 20000000;
		t.tv_sec += t.tv_nsec / 1000000000;
		t.tv_nsec %= 1000000000;
		pthread_cond_timedwait(&st.changed, &st.lock, &t);
	}
}

static bool
kv_txn(struct req *q, int view)
{
	json_t *o = json_loads(q->body, 0, NULL), *v, *items = json_array();
	bool holds = true;
	size_t i;

	json_array_foreach(json_object_get(o, "expected"), i, v)
	{
		struct item *it =
		    find_item(json_string_value(json_object_get(v, "key")));
		long expected = json_integer_value(json_object_get(v, "revision"));

		if (it != NULL)
			json_array_append_new(items, item_json(it, view));
		holds = holds && (it != NULL ? it->revision : 0) == expected;
	}
	if (!holds) {
		json_decref(o);
		return answer(q->fd, 412, json_pack("{s:o}", "items", items));
	}
	json_decref(items);
	json_array_foreach(json_object_get(o, "put"), i, v)
	{
		long lease = json_integer_value(json_object_get(v, "lease"));

		if (lease != 0 && find_lease(lease) == NULL) {
			json_decref(o);
			return answer(q->fd, 404, json_object());
		}
	}
	st.revision++;
	json_array_foreach(json_object_get(o, "put"), i, v)
		put_item(json_string_value(json_object_get(v, "key")),
		    json_string_value(json_object_get(v, "value")),
		    json_integer_value(json_object_get(v, "lease")));
	json_array_foreach(json_object_get(o, "delete"), i, v)
	{
		struct item *it = find_item(json_string_value(v));

		if (it != NULL)
			delete_item(it);
	}
	json_decref(o);
	pthread_cond_broadcast(&st.changed);
	return answer(
	    q->fd, 200, json_pack("{s:I}", "revision", (json_int_t)st.revision));
}

static bool
kv_lease(struct req *q, int view)
{
	json_t *o = json_loads(q->body, 0, NULL);
	long ttl = json_integer_value(json_object_get(o, "ttl_ms"));
	struct lease *l;

	json_decref(o);
	if (st.lease_count == LEASES_MAX)
		unfit("too many leases");
	l = &st.leases[st.lease_count++];
	*l = (struct lease){++st.next_lease, ttl, clock_ms() + (uint64_t)ttl};
	return answer(q->fd, 200,
	    json_pack("{s:I,s:I}", "lease", (json_int_t)l->id, "ttl_ms", (json_int_t)ttl));
}

static bool
kv_keep(struct req *q, int view)
{
	struct lease *l = find_lease(atol(strrchr(q->target, '/') + 1));

	if (l == NULL)
		return answer(q->fd, 404, json_object());
	l->end_ms = clock_ms() + (uint64_t)l->ttl_ms;
	return answer(q->fd, 200, json_pack("{s:I}", "ttl_ms", (json_int_t)l->ttl_ms));
}

static bool
kv_end(struct req *q, int view)
{
	struct lease *l = find_lease(atol(strrchr(q->target, '/') + 1));

	if (l == NULL)
		return answer(q->fd, 404, json_object());
	end_lease(l);
	return answer(q->fd, 200, json_object());
}

static bool
on_store(struct req *q, void *arg)
{
	static const struct {
		const char *start;
		bool (*fn)(struct req *q, int view);
	} calls[] = {{"/lavenderdrift/kv-range", kv_range},
	    {"/lavenderdrift/kv-key", kv_key}, {"/lavenderdrift/kv-watch", kv_watch},
	    {"/lavenderdrift/kv-txn", kv_txn}, {"/lavenderdrift/kv-lease-end/", kv_end},
	    {"/lavenderdrift/kv-lease", kv_lease}, {"/lavenderdrift/kv-keep/", kv_keep}};
	int view = *(const int *)arg;
	bool ok = false;

	pthread_mutex_lock(&st.lock);
	for (size_t i = 0; i < sizeof(calls) / sizeof(calls[0]) && !st.away &&
	     !st.view_away[view]; i++)
		if (strncmp(q->target, calls[i].start, strlen(calls[i].start)) == 0) {
			ok = calls[i].fn(q, view);
			break;
		}
	pthread_mutex_unlock(&st.lock);
	return ok;
}

static int store_ports[STORE_VIEWS];

void
store_start(void)
{
	static int views[STORE_VIEWS];

	for (int i = 0; i < STORE_VIEWS; i++) {
		views[i] = i;
		store_ports[i] = free_port();
		listen_on(store_ports[i], on_store, &views[i]);
	}
	start_thread(expire_loop, NULL);
}

void
store_cut_off(int view, bool cut)
{
	pthread_mutex_lock(&st.lock);
	st.view_away[view] = cut;
	pthread_cond_broadcast(&st.changed);
	pthread_mutex_unlock(&st.lock);
}

bool
store_get(const char *key, char *out, size_t size)
{
	struct item *it;
	char *text;

	pthread_mutex_lock(&st.lock);
	it = find_item(key);
	text = it != NULL ? unbase64(it->value) : NULL;
	pthread_mutex_unlock(&st.lock);
	if (text != NULL)
		snprintf(out, size, "%s", text);
	free(text);
	return text != NULL;
}

/* ---- Relays ---- */

void
relay_prepare(struct relay *r, const char *name, const char *zone)
{
	const char *tmp = getenv("CASE_TMP");

	*r = (struct relay){0};
	snprintf(r->name, sizeof(r->name), "%s", name);
	snprintf(r->zone, sizeof(r->zone), "%s", zone);
	r->entry = free_port();
	r->ready = free_port();
	r->peers = free_port();
	r->metrics = free_port();
	snprintf(r->file, sizeof(r->file), "%s/%s.json", tmp != NULL ? tmp : "/tmp", name);
}

/* As deploy/relay.json is filled in for the small deployments. */
static void
write_settings(const struct relay *r, bool initial)
{
	FILE *f = fopen(r->file, "w");

	if (f == NULL)
		unfit("no settings file");
	fprintf(f,
	    "{\"node\":{\"name\":\"%s\",\"failure_domain\":\"%s\",\"initial_start\":%s,"
	    "\"max_descriptors\":4100,\"processor_share\":0.25},"
	    "\"entry\":{\"listen\":\"127.0.0.1:%d\"},"
	    "\"readiness\":{\"listen\":\"127.0.0.1:%d\"},\"peers\":{\"port\":%d},"
	    "\"metrics\":{\"port\":%d},\"store\":{\"address\":\"127.0.0.1:%d\"},"
	    "\"bounds\":{\"strict_revocation\":true,\"revoke_ms\":5000,\"drain_ms\":2000,"
	    "\"grace_s\":8,\"config_apply_ms\":2000,\"stall_ms\":5000,"
	    "\"repeat_ratio\":0.2,\"repeat_extra\":134,\"repeat_window_s\":10}}\n",
	    r->name, r->zone, initial ? "true" : "false", r->entry, r->ready, r->peers,
	    r->metrics, store_ports[r->view]);
	fclose(f);
}

void
relay_start(struct relay *r, bool initial)
{
	const char *binary = getenv("RELAY_BINARY");
	char log[300];
	int fd;

	write_settings(r, initial);
	snprintf(log, sizeof(log), "%s.log", r->file);
	r->pid = fork();
	if (r->pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
		dup2(fd, 1);
		dup2(fd, 2);
		execl(binary, binary, "relay", "-c", r->file, (char *)NULL);
		_exit(127);
	}
	children[child_count++] = r->pid;
	record("%s: started", r->name);
}

void
relay_signal(struct relay *r, int sig)
{
	kill(r->pid, sig);
	record("%s: signal %d", r->name, sig);
}

bool
relay_ended(struct relay *r, int *status)
{
	if (waitpid(r->pid, status, WNOHANG) != r->pid)
		return false;
	for (int i = 0; i < child_count; i++)
		if (children[i] == r->pid)
			children[i] = 0;
	return true;
}

long
relay_rss_kb(const struct relay *r)
{
	char path[64], line[256];
	long kb = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)r->pid);
	f = fopen(path, "r");
	while (f != NULL && fgets(line, sizeof(line), f) != NULL)
		sscanf(line, "VmRSS: %ld", &kb);
	if (f != NULL)
		fclose(f);
	return kb;
}

int
ready_code(const struct relay *r, int timeout_ms)
{
	static const char raw[] =
	    "GET /lavenderdrift/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
	struct resp a;

	call(r->ready, raw, sizeof(raw) - 1, timeout_ms, &a);
	resp_free(&a);
	return a.code;
}

void
wait_ready(struct relay *r, int within_ms)
{
	uint64_t end = now_ms() + (uint64_t)within_ms;

	while (ready_code(r, 1000) != 200) {
		if (now_ms() > end)
			unfit("a relay isn't ready");
		sleep_ms(50);
	}
	record("%s: ready", r->name);
}

/* ---- Clients ---- */

static int
connect_to(int port)
{
	struct sockaddr_in a = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Whether the body is complete; decodes chunks. */
static bool
take_body(const char *head, struct line_buf *b, struct resp *out)
{
	char text[64];
	size_t at = 0;

	if (head_field(head, "Content-Length", text, sizeof(text))) {
		size_t n = strtoul(text, NULL, 10);

		if (b->len < n)
			return false;
		out->body = malloc(n + 1);
		memcpy(out->body, b->p != NULL ? b->p : "", n);
		out->body[n] = '\0';
		out->body_len = n;
		return true;
	}
	if (!head_field(head, "Transfer-Encoding", text, sizeof(text)))
		return false;
	for (struct line_buf d = {0};;) {
		char *line = b->p != NULL ? strstr(b->p + at, "\r\n") : NULL;
		size_t n;

		if (line == NULL) {
			free(d.p);
			return false;
		}
		n = strtoul(b->p + at, NULL, 16);
		at = (size_t)(line - b->p) + 2;
		if (b->len < at + n + 2) {
			free(d.p);
			return false;
		}
		if (n == 0) {
			out->body = d.p != NULL ? d.p : strdup("");
			out->body_len = d.len;
			return true;
		}
		add(&d, b->p + at, n);
		at += n + 2;
	}
}

void
call(int port, const char *raw, size_t n, int timeout_ms, struct resp *out)
{
	uint64_t end, sent;
	struct line_buf b = {0};
	char *stop;
	int fd = connect_to(port);

	*out = (struct resp){0};
	if (fd < 0)
		return;
	sent = now_ms();
	end = sent + (uint64_t)timeout_ms;
	if (send_all(fd, raw, n))
		while (!out->complete) {
			uint64_t now = now_ms();

			if (out->code == 0 && b.p != NULL &&
			    (stop = strstr(b.p, "\r\n\r\n")) != NULL) {
				sscanf(b.p, "HTTP/1.%*d %d", &out->code);
				snprintf(out->head, sizeof(out->head), "%.*s",
				    (int)(stop - b.p) + 2, b.p);
				drop(&b, (size_t)(stop - b.p) + 4);
				if (out->code == 100) {
					out->code = 0;
					continue;
				}
			}
			if (out->code != 0 && take_body(out->head, &b, out)) {
				out->complete = true;
				break;
			}
			if (now >= end || !read_more(fd, &b, (int)(end - now)))
				break;
		}
	out->ms = (int)(now_ms() - sent);
	close(fd);
	free(b.p);
}

bool
resp_field(const struct resp *r, const char *name, char *out, size_t size)
{
	return head_field(r->head, name, out, size);
}

void
resp_free(struct resp *r)
{
	free(r->body);
	r->body = NULL;
}
