/* See world.h. */
#define _GNU_SOURCE
#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
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

#define HEARTBEAT_MS 1200
#define STACK_BYTES (256 * 1024)
#define BODY_BYTES 600

static struct timespec started;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static const char *relay_program;
static char folder[256];

/* ---- Time and record ---- */

long
now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (t.tv_sec - started.tv_sec) * 1000 + (t.tv_nsec - started.tv_nsec) / 1000000;
}

void
sleep_ms(long ms)
{
	struct timespec t = {ms / 1000, ms % 1000 * 1000000};

	if (ms > 0)
		nanosleep(&t, NULL);
}

void
sleep_until_ms(long at)
{
	sleep_ms(at - now_ms());
}

void
record(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&record_lock);
	if (record_file != NULL) {
		fprintf(record_file, "%8.3f  ", (double)now_ms() / 1000);
		va_start(ap, fmt);
		vfprintf(record_file, fmt, ap);
		va_end(ap);
		fputc('\n', record_file);
	}
	pthread_mutex_unlock(&record_lock);
}

void
could_not_run(const char *why)
{
	record("the case could not run: %s", why);
	fprintf(stderr, "could not run: %s\n", why);
	world_close();
	exit(2);
}

static void
start_thread(void *(*fn)(void *), void *arg, pthread_t *out)
{
	pthread_attr_t a;
	pthread_t t;

	pthread_attr_init(&a);
	pthread_attr_setstacksize(&a, STACK_BYTES);
	if (out == NULL)
		pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
	if (pthread_create(out != NULL ? out : &t, &a, fn, arg) != 0)
		could_not_run("no thread");
	pthread_attr_destroy(&a);
}

/* ---- HTTP of the stand-ins ---- */

struct request {
	char method[16];
	char target[512];
	char head[32768]; /* all fields */
	char *body;
	size_t body_len;
};

struct reader {
	int fd;
	char buf[65536];
	size_t len;
};

static bool
read_more(struct reader *r)
{
	ssize_t n;

	if (r->len == sizeof(r->buf))
		return false;
	n = recv(r->fd, r->buf + r->len, sizeof(r->buf) - r->len, 0);
	if (n <= 0)
		return false;
	r->len += (size_t)n;
	return true;
}

static const char *
field(const char *head, const char *name, char *out, size_t size)
{
	size_t n = strlen(name);

	for (const char *p = strchr(head, '\n'); p != NULL; p = strchr(p + 1, '\n')) {
		const char *q = p + 1;
		size_t len;

		if (strncasecmp(q, name, n) != 0 || q[n] != ':')
			continue;
		q += n + 1;
		while (*q == ' ')
			q++;
		len = strcspn(q, "\r\n");
		if (len >= size)
			len = size - 1;
		memcpy(out, q, len);
		out[len] = '\0';
		return out;
	}
	out[0] = '\0';
	return NULL;
}

static bool
read_request(struct reader *r, struct request *rq)
{
	char *end, text[32];
	size_t head, length = 0;

	for (;;) {
		end = memmem(r->buf, r->len, "\r\n\r\n", 4);
		if (end != NULL)
			break;
		if (!read_more(r))
			return false;
	}
	head = (size_t)(end - r->buf) + 4;
	if (head >= sizeof(rq->head))
		return false;
	memcpy(rq->head, r->buf, head);
	rq->head[head] = '\0';
	if (sscanf(rq->head, "%15s %511s", rq->method, rq->target) != 2)
		return false;
	if (field(rq->head, "Content-Length", text, sizeof(text)) != NULL)
		length = strtoul(text, NULL, 10);
	memmove(r->buf, r->buf + head, r->len - head);
	r->len -= head;
	rq->body = malloc(length + 1);
	rq->body_len = length;
	for (size_t got = 0; got < length;) {
		size_t n = r->len < length - got ? r->len : length - got;

		memcpy(rq->body + got, r->buf, n);
		memmove(r->buf, r->buf + n, r->len - n);
		r->len -= n;
		got += n;
		if (got < length && !read_more(r)) {
			free(rq->body);
			return false;
		}
	}
	rq->body[length] = '\0';
	return true;
}

static bool
write_all(int fd, const char *p, size_t n)
{
	while (n > 0) {
		ssize_t k = send(fd, p, n, MSG_NOSIGNAL);

		if (k <= 0)
			return false;
		p += k;
		n -= (size_t)k;
	}
	return true;
}

static bool
reply(int fd, int code, const char *fields, const char *body, size_t len)
{
	char head[2048];
	int n = snprintf(head, sizeof(head), "HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n",
	    code, fields, len);

	return write_all(fd, head, (size_t)n) && write_all(fd, body, len);
}

/* ---- Doors: ports that can be closed, with all connections on them ---- */

#define DOOR_FDS 512

struct door {
	int port;
	int fd; /* -1: closed */
	int fds[DOOR_FDS];
	pthread_mutex_t lock;
	bool (*serve)(struct door *d, int fd, struct request *rq);
	int a, b;
};

struct visit {
	struct door *door;
	int fd;
};

static void *
visit_main(void *arg)
{
	struct visit *v = arg;
	struct door *d = v->door;
	struct reader *r = calloc(1, sizeof(*r));
	struct request *rq = calloc(1, sizeof(*rq));

	r->fd = v->fd;
	while (read_request(r, rq)) {
		bool go_on = d->serve(d, v->fd, rq);

		free(rq->body);
		if (!go_on)
			break;
	}
	pthread_mutex_lock(&d->lock);
	for (int i = 0; i < DOOR_FDS; i++)
		if (d->fds[i] == v->fd)
			d->fds[i] = -1;
	close(v->fd);
	pthread_mutex_unlock(&d->lock);
	free(r);
	free(rq);
	free(v);
	return NULL;
}

static void *
door_main(void *arg)
{
	struct door *d = arg;

	for (;;) {
		struct pollfd p = {.events = POLLIN};
		struct visit *v;
		int on = 1, fd, i;

		pthread_mutex_lock(&d->lock);
		p.fd = d->fd;
		pthread_mutex_unlock(&d->lock);
		if (p.fd < 0) {
			sleep_ms(5);
			continue;
		}
		if (poll(&p, 1, 20) <= 0)
			continue;
		pthread_mutex_lock(&d->lock);
		fd = d->fd >= 0 ? accept4(d->fd, NULL, NULL, SOCK_CLOEXEC) : -1;
		for (i = 0; fd >= 0 && i < DOOR_FDS && d->fds[i] >= 0; i++)
			;
		if (fd >= 0 && i < DOOR_FDS)
			d->fds[i] = fd;
		pthread_mutex_unlock(&d->lock);
		if (fd < 0)
			continue;
		if (i == DOOR_FDS) {
			close(fd);
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		v = malloc(sizeof(*v));
		*v = (struct visit){d, fd};
		start_thread(visit_main, v, NULL);
	}
	return NULL;
}

static int
listen_on(int port)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	int on = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	a.sin_port = htons((uint16_t)port);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 || listen(fd, 256) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Below the ports that the system gives to outgoing connections: one that is closed
 * for a while must not be taken by another. */
#define PORT_MIN 18000
#define PORT_MAX 31000

static int
free_port(void)
{
	static int next;

	if (next == 0)
		next = PORT_MIN + (int)(getpid() * 131L % (PORT_MAX - PORT_MIN));
	for (int i = 0; i < PORT_MAX - PORT_MIN; i++) {
		int port = next, fd = listen_on(port);

		next = next + 1 < PORT_MAX ? next + 1 : PORT_MIN;
		if (fd < 0)
			continue;
		close(fd);
		return port;
	}
	could_not_run("no free port");
}

static void
door_open(struct door *d)
{
	int fd = -1;

	for (int i = 0; i < 200 && (fd = listen_on(d->port)) < 0; i++)
		sleep_ms(10);
	if (fd < 0)
		could_not_run("a port is taken");
	pthread_mutex_lock(&d->lock);
	d->fd = fd;
	pthread_mutex_unlock(&d->lock);
}

/* Connections are reset, new ones are refused. */
static void
door_close(struct door *d)
{
	struct linger hard = {1, 0};

	pthread_mutex_lock(&d->lock);
	if (d->fd >= 0)
		close(d->fd);
	d->fd = -1;
	for (int i = 0; i < DOOR_FDS; i++) {
		if (d->fds[i] < 0)
			continue;
		setsockopt(d->fds[i], SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
		shutdown(d->fds[i], SHUT_RDWR);
	}
	pthread_mutex_unlock(&d->lock);
}

static void
door_init(struct door *d, bool (*serve)(struct door *, int, struct request *), int a, int b)
{
	d->port = free_port();
	d->fd = -1;
	d->serve = serve;
	d->a = a;
	d->b = b;
	for (int i = 0; i < DOOR_FDS; i++)
		d->fds[i] = -1;
	pthread_mutex_init(&d->lock, NULL);
	door_open(d);
	start_thread(door_main, d, NULL);
}

/* ---- JSON of the store's calls: enough for what the pages show ---- */

/* The text after "name": in @o, or NULL. */
static const char *
member(const char *o, const char *name)
{
	char quoted[64];
	const char *p;

	snprintf(quoted, sizeof(quoted), "\"%s\"", name);
	p = strstr(o, quoted);
	if (p == NULL)
		return NULL;
	p += strlen(quoted);
	while (*p == ' ' || *p == ':')
		p++;
	return p;
}

static long long
member_number(const char *o, const char *name)
{
	const char *p = member(o, name);

	return p != NULL ? strtoll(p, NULL, 10) : 0;
}

/* A string without escapes but \/ : keys and base64 have no others. */
static char *
member_text(const char *o, const char *name)
{
	const char *p = member(o, name);
	char *out, *q;

	if (p == NULL || *p != '"')
		return NULL;
	out = q = malloc(strlen(p) + 1);
	for (p++; *p != '"' && *p != '\0'; p++)
		if (*p != '\\')
			*q++ = *p;
	*q = '\0';
	return out;
}

/* The end of the list that begins at @p ('['), behind its ']'. */
static const char *
list_end(const char *p)
{
	int depth = 0;
	bool quoted = false;

	for (; *p != '\0'; p++) {
		if (*p == '"' && p[-1] != '\\')
			quoted = !quoted;
		if (quoted)
			continue;
		depth += *p == '[' || *p == '{';
		depth -= *p == ']' || *p == '}';
		if (depth == 0)
			return p + 1;
	}
	return p;
}

/* Calls @fn for each object of the list "name". */
static void
each_object(const char *o, const char *name, void (*fn)(const char *object, void *user),
    void *user)
{
	const char *p = member(o, name), *end;

	if (p == NULL || *p != '[')
		return;
	end = list_end(p);
	for (p++; p < end && (p = strchr(p, '{')) != NULL && p < end;) {
		const char *next = list_end(p);
		char *copy = strndup(p, (size_t)(next - p));

		fn(copy, user);
		free(copy);
		p = next;
	}
}

static const char b64[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static char *
encode64(const char *s)
{
	size_t n = strlen(s);
	char *out = malloc(4 * (n / 3 + 1) + 1), *q = out;

	for (size_t i = 0; i < n; i += 3) {
		uint32_t v = (uint32_t)(unsigned char)s[i] << 16;

		if (i + 1 < n)
			v |= (uint32_t)(unsigned char)s[i + 1] << 8;
		if (i + 2 < n)
			v |= (unsigned char)s[i + 2];
		*q++ = b64[v >> 18];
		*q++ = b64[v >> 12 & 63];
		*q++ = i + 1 < n ? b64[v >> 6 & 63] : '=';
		*q++ = i + 2 < n ? b64[v & 63] : '=';
	}
	*q = '\0';
	return out;
}

static char *
decode64(const char *s)
{
	char *out = malloc(strlen(s) + 1), *q = out;
	uint32_t v = 0;
	int bits = 0;

	for (; *s != '\0' && *s != '='; s++) {
		const char *at = strchr(b64, *s);

		if (at == NULL)
			continue;
		v = v << 6 | (uint32_t)(at - b64);
		bits += 6;
		if (bits >= 8) {
			bits -= 8;
			*q++ = (char)(v >> bits & 255);
		}
	}
	*q = '\0';
	return out;
}

/* ---- The store ---- */

struct item {
	char key[200];
	char *value;
	long long revision, created, lease;
	bool deleted;
};

struct lease {
	long long id;
	long ttl_ms, ends_ms;
};

static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static struct item *items, *events;
static size_t item_count, event_count;
static struct lease *leases;
static size_t lease_count;
static long long store_revision = 100, last_lease = 7000;
static volatile enum view_state views[RELAYS_MAX];

static int path_port(int server, int relay);

static struct item *
find_item(const char *key)
{
	for (size_t i = 0; i < item_count; i++)
		if (strcmp(items[i].key, key) == 0)
			return &items[i];
	return NULL;
}

static void
add_event(const struct item *it, bool deleted)
{
	struct item *e;

	events = realloc(events, (event_count + 1) * sizeof(*events));
	e = &events[event_count++];
	*e = *it;
	e->value = strdup(deleted ? "" : it->value);
	e->deleted = deleted;
	e->revision = store_revision;
	pthread_cond_broadcast(&store_changed);
}

/* With the lock held. */
static void
put_item(const char *key, const char *value, long long lease)
{
	struct item *it = find_item(key);

	if (it == NULL) {
		items = realloc(items, (item_count + 1) * sizeof(*items));
		it = &items[item_count++];
		*it = (struct item){.created = store_revision};
		snprintf(it->key, sizeof(it->key), "%s", key);
	}
	free(it->value);
	it->value = strdup(value);
	it->revision = store_revision;
	it->lease = lease;
	add_event(it, false);
}

static void
delete_item(const char *key)
{
	struct item *it = find_item(key);

	if (it == NULL)
		return;
	add_event(it, true);
	free(it->value);
	*it = items[--item_count];
}

long
store_put(const char *key, const char *value)
{
	pthread_mutex_lock(&store_lock);
	store_revision++;
	put_item(key, value, 0);
	pthread_mutex_unlock(&store_lock);
	return now_ms();
}

void
store_delete(const char *key)
{
	pthread_mutex_lock(&store_lock);
	if (find_item(key) != NULL) {
		store_revision++;
		delete_item(key);
	}
	pthread_mutex_unlock(&store_lock);
}

bool
store_has(const char *key)
{
	bool has;

	pthread_mutex_lock(&store_lock);
	has = find_item(key) != NULL;
	pthread_mutex_unlock(&store_lock);
	return has;
}

static struct lease *
find_lease(long long id)
{
	for (size_t i = 0; i < lease_count; i++)
		if (leases[i].id == id)
			return &leases[i];
	return NULL;
}

/* With the lock held. */
static void
end_lease(struct lease *l)
{
	long long id = l->id;
	bool any = true;

	*l = leases[--lease_count];
	while (any) {
		any = false;
		for (size_t i = 0; i < item_count && !any; i++) {
			char key[200];

			if (items[i].lease != id)
				continue;
			snprintf(key, sizeof(key), "%s", items[i].key);
			store_revision++;
			delete_item(key);
			any = true;
		}
	}
}

static void *
lease_main(void *arg)
{
	for (;;) {
		pthread_mutex_lock(&store_lock);
		for (size_t i = lease_count; i-- > 0;)
			if (now_ms() > leases[i].ends_ms)
				end_lease(&leases[i]);
		pthread_mutex_unlock(&store_lock);
		sleep_ms(20);
	}
	return arg;
}

struct text {
	char *p;
	size_t len, cap;
};

static void
add_text(struct text *t, const char *fmt, ...)
{
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (t->len + (size_t)n + 1 > t->cap) {
		t->cap = 2 * (t->len + (size_t)n + 1);
		t->p = realloc(t->p, t->cap);
	}
	va_start(ap, fmt);
	vsnprintf(t->p + t->len, t->cap - t->len, fmt, ap);
	va_end(ap);
	t->len += (size_t)n;
}

/* The address of server N stands as "@N@" in its entry: each machine has its own. */
static char *
value_in_view(const char *value, int view)
{
	const char *at = strstr(value, "\"@");
	struct text t = {0};
	int server;

	if (at == NULL || sscanf(at, "\"@%d@\"", &server) != 1)
		return strdup(value);
	add_text(&t, "%.*s\"127.0.0.1:%d\"%s", (int)(at - value), value,
	    path_port(server, view), strchr(at + 2, '"') + 1);
	return t.p;
}

static void
add_item(struct text *t, const struct item *it, int view)
{
	char *seen, *coded;

	if (it->deleted) {
		add_text(t, "{\"key\":\"%s\",\"revision\":%lld,\"deleted\":true}", it->key,
		    it->revision);
		return;
	}
	seen = value_in_view(it->value, view);
	coded = encode64(seen);
	add_text(t,
	    "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%lld,\"created\":%lld,\"lease\":%lld}",
	    it->key, coded, it->revision, it->created, it->lease);
	free(coded);
	free(seen);
}

/* A parameter of the query, with %XX decoded. */
static bool
parameter(const char *target, const char *name, char *out, size_t size)
{
	const char *p = strchr(target, '?');
	size_t n = strlen(name), len = 0;

	for (; p != NULL; p = strchr(p + 1, '&')) {
		if (strncmp(p + 1, name, n) != 0 || p[1 + n] != '=')
			continue;
		for (p += n + 2; *p != '\0' && *p != '&' && len + 1 < size; p++) {
			unsigned int c;

			if (*p == '%' && sscanf(p + 1, "%2x", &c) == 1) {
				out[len++] = (char)c;
				p += 2;
			} else {
				out[len++] = *p;
			}
		}
		out[len] = '\0';
		return true;
	}
	out[0] = '\0';
	return false;
}

static bool
starts(const char *s, const char *prefix)
{
	return strncmp(s, prefix, strlen(prefix)) == 0;
}

struct txn {
	bool fits;
	bool has_leases;
	bool apply;
	struct text current;
	int view;
};

static void
check_expected(const char *o, void *user)
{
	struct txn *t = user;
	char *key = member_text(o, "key");
	struct item *it = find_item(key);

	if ((it != NULL ? it->revision : 0) != member_number(o, "revision"))
		t->fits = false;
	if (it != NULL) {
		add_text(&t->current, "%s", t->current.len > 0 ? "," : "");
		add_item(&t->current, it, t->view);
	}
	free(key);
}

static void
take_put(const char *o, void *user)
{
	struct txn *t = user;
	char *key = member_text(o, "key"), *coded = member_text(o, "value"), *value;
	long long lease = member_number(o, "lease");

	value = decode64(coded != NULL ? coded : "");
	if (lease != 0 && find_lease(lease) == NULL)
		t->has_leases = false;
	if (t->apply)
		put_item(key, value, lease);
	free(key);
	free(coded);
	free(value);
}

static void
take_deletes(const char *body)
{
	const char *p = member(body, "delete"), *end;

	if (p == NULL || *p != '[')
		return;
	for (end = list_end(p); p < end && (p = strchr(p, '"')) != NULL && p < end;) {
		const char *close = strchr(p + 1, '"');
		char *raw = strndup(p + 1, (size_t)(close - p - 1)), *q = raw;

		for (char *s = raw; *s != '\0'; s++)
			if (*s != '\\')
				*q++ = *s;
		*q = '\0';
		delete_item(raw);
		free(raw);
		p = close + 1;
	}
}

static int
serve_txn(const char *body, int view, struct text *out)
{
	struct txn t = {.fits = true, .has_leases = true, .view = view};
	int code = 200;

	pthread_mutex_lock(&store_lock);
	each_object(body, "expected", check_expected, &t);
	each_object(body, "put", take_put, &t);
	if (!t.has_leases) {
		code = 404;
		add_text(out, "{}");
	} else if (!t.fits) {
		code = 412;
		add_text(out, "{\"items\":[%s]}", t.current.len > 0 ? t.current.p : "");
	} else {
		store_revision++;
		t.apply = true;
		each_object(body, "put", take_put, &t);
		take_deletes(body);
		add_text(out, "{\"revision\":%lld}", store_revision);
	}
	pthread_mutex_unlock(&store_lock);
	free(t.current.p);
	return code;
}

static int
serve_watch(const char *target, int view, struct text *out)
{
	char prefix[200], text[32];
	long long after;
	long ends;
	size_t n = 0;

	parameter(target, "prefix", prefix, sizeof(prefix));
	parameter(target, "after", text, sizeof(text));
	after = strtoll(text, NULL, 10);
	parameter(target, "wait_ms", text, sizeof(text));
	ends = now_ms() + strtol(text, NULL, 10);
	pthread_mutex_lock(&store_lock);
	for (;;) {
		for (size_t i = event_count; i-- > 0 && events[i].revision > after;)
			n += starts(events[i].key, prefix);
		if (n > 0 || now_ms() >= ends || views[view] != VIEW_OK)
			break;
		pthread_mutex_unlock(&store_lock);
		sleep_ms(2);
		pthread_mutex_lock(&store_lock);
	}
	add_text(out, "{\"events\":[");
	n = 0;
	for (size_t i = 0; i < event_count; i++) {
		if (events[i].revision <= after || !starts(events[i].key, prefix))
			continue;
		add_text(out, "%s", n++ > 0 ? "," : "");
		add_item(out, &events[i], view);
	}
	add_text(out, "],\"at\":%lld}", store_revision);
	pthread_mutex_unlock(&store_lock);
	return 200;
}

static int
serve_range(const char *target, int view, struct text *out)
{
	char prefix[200];
	size_t n = 0;

	parameter(target, "prefix", prefix, sizeof(prefix));
	pthread_mutex_lock(&store_lock);
	add_text(out, "{\"items\":[");
	for (size_t i = 0; i < item_count; i++) {
		if (!starts(items[i].key, prefix))
			continue;
		add_text(out, "%s", n++ > 0 ? "," : "");
		add_item(out, &items[i], view);
	}
	add_text(out, "],\"has_more\":false,\"at\":%lld}", store_revision);
	pthread_mutex_unlock(&store_lock);
	return 200;
}

static int
serve_key(const char *target, int view, struct text *out)
{
	char key[200];
	struct item *it;
	int code = 404;

	parameter(target, "key", key, sizeof(key));
	pthread_mutex_lock(&store_lock);
	it = find_item(key);
	if (it != NULL) {
		code = 200;
		add_item(out, it, view);
		out->len--; /* the closing brace */
		add_text(out, ",\"at\":%lld}", store_revision);
	} else {
		add_text(out, "{\"at\":%lld}", store_revision);
	}
	pthread_mutex_unlock(&store_lock);
	return code;
}

static int
serve_lease(const struct request *rq, struct text *out)
{
	const char *id = strrchr(rq->target, '/') + 1;
	struct lease *l;
	int code = 404;

	pthread_mutex_lock(&store_lock);
	if (strstr(rq->target, "kv-keep/") != NULL) {
		l = find_lease(strtoll(id, NULL, 10));
		if (l != NULL) {
			l->ends_ms = now_ms() + l->ttl_ms;
			add_text(out, "{\"ttl_ms\":%ld}", l->ttl_ms);
			code = 200;
		}
	} else if (strstr(rq->target, "kv-lease-end/") != NULL) {
		l = find_lease(strtoll(id, NULL, 10));
		if (l != NULL) {
			end_lease(l);
			code = 200;
		}
	} else {
		leases = realloc(leases, (lease_count + 1) * sizeof(*leases));
		l = &leases[lease_count++];
		l->id = ++last_lease;
		l->ttl_ms = (long)member_number(rq->body, "ttl_ms");
		if (l->ttl_ms < 1000)
			l->ttl_ms = 1000;
		l->ends_ms = now_ms() + l->ttl_ms;
		add_text(out, "{\"lease\":%lld,\"ttl_ms\":%ld}", l->id, l->ttl_ms);
		code = 200;
	}
	if (out->len == 0)
		add_text(out, "{}");
	pthread_mutex_unlock(&store_lock);
	return code;
}

static bool
serve_store(struct door *d, int fd, struct request *rq)
{
	struct text out = {0};
	int code;
	bool ok;

	if (views[d->a] == VIEW_BUSY)
		return reply(fd, 503, "Content-Type: application/json\r\n", "{}", 2);
	if (strstr(rq->target, "/kv-txn") != NULL)
		code = serve_txn(rq->body, d->a, &out);
	else if (strstr(rq->target, "/kv-watch") != NULL)
		code = serve_watch(rq->target, d->a, &out);
	else if (strstr(rq->target, "/kv-range") != NULL)
		code = serve_range(rq->target, d->a, &out);
	else if (strstr(rq->target, "/kv-key") != NULL)
		code = serve_key(rq->target, d->a, &out);
	else
		code = serve_lease(rq, &out);
	/* What a machine was told before it was turned away holds; nothing after it. */
	if (views[d->a] == VIEW_BUSY)
		ok = reply(fd, 503, "Content-Type: application/json\r\n", "{}", 2);
	else
		ok = reply(fd, code, "Content-Type: application/json\r\n", out.p, out.len);
	free(out.p);
	return ok;
}

/* ---- Servers ---- */

struct server {
	char id[32], service[32], zone[32];
	long work_ms;
	volatile bool leaving;
	long long sequence, born;
	volatile bool down; /* has crashed */
	volatile bool silent; /* says nothing meanwhile */
	struct door doors[RELAYS_MAX];
};

static struct server servers[SERVERS_MAX];
static int server_count, relay_count;
static struct run *runs;
static size_t run_count;
static pthread_mutex_t run_lock = PTHREAD_MUTEX_INITIALIZER;

static int
path_port(int server, int relay)
{
	return servers[server].doors[relay].port;
}

static void
add_run(const struct run *r)
{
	pthread_mutex_lock(&run_lock);
	runs = realloc(runs, (run_count + 1) * sizeof(*runs));
	runs[run_count++] = *r;
	pthread_mutex_unlock(&run_lock);
}

size_t
runs_of(const char *attempt, struct run *out, size_t max)
{
	size_t n = 0;

	pthread_mutex_lock(&run_lock);
	for (size_t i = 0; i < run_count && n < max; i++)
		if (strcmp(runs[i].id, attempt) == 0)
			out[n++] = runs[i];
	pthread_mutex_unlock(&run_lock);
	return n;
}

const char *
server_id(int s)
{
	return servers[s].id;
}

const char *
server_service(int s)
{
	return servers[s].service;
}

#define DOWN_MS 3000
#define CRASH_AFTER_MS 30
#define CRASHES_MAX 4096

static struct crash_kind crash_kind;
static long crash_ms[CRASHES_MAX];
static size_t crash_count;

static void write_entry(struct server *s, int index);

void
server_crash_on(const struct crash_kind *kind)
{
	pthread_mutex_lock(&run_lock);
	crash_kind = *kind;
	pthread_mutex_unlock(&run_lock);
}

size_t
crashes(long *out, size_t max)
{
	size_t n;

	pthread_mutex_lock(&run_lock);
	for (n = 0; n < crash_count && n < max; n++)
		out[n] = crash_ms[n];
	pthread_mutex_unlock(&run_lock);
	return n;
}

static void *
crash_main(void *arg)
{
	struct server *s = arg;

	sleep_ms(CRASH_AFTER_MS);
	s->silent = crash_kind.silent;
	for (int r = 0; r < relay_count && !s->silent; r++)
		door_close(&s->doors[r]);
	pthread_mutex_lock(&run_lock);
	if (crash_count < CRASHES_MAX)
		crash_ms[crash_count++] = now_ms();
	pthread_mutex_unlock(&run_lock);
	record("%s has crashed%s", s->id, s->silent ? ", its machine is silent" : "");
	sleep_ms(DOWN_MS);
	/* What is left of the old connections is reset. */
	for (int r = 0; r < relay_count && s->silent; r++)
		door_close(&s->doors[r]);
	s->born += now_ms();
	s->silent = s->down = false;
	for (int r = 0; r < relay_count; r++)
		door_open(&s->doors[r]);
	write_entry(s, (int)(s - servers));
	record("%s is back", s->id);
	return NULL;
}

/* Whether the request is one that crashes this server; if so, it begins to. */
static bool
crashes_server(struct server *s, const struct request *rq)
{
	static __thread char parts[16384];
	bool begins = false;

	if (!(crash_kind.path != NULL && strcmp(rq->target, crash_kind.path) == 0) &&
	    !(crash_kind.part != NULL &&
		field(rq->head, "X-Prefix-Hash", parts, sizeof(parts)) != NULL &&
		strstr(parts, crash_kind.part) != NULL))
		return false;
	pthread_mutex_lock(&run_lock);
	if (!s->down)
		begins = s->down = true;
	pthread_mutex_unlock(&run_lock);
	if (begins)
		start_thread(crash_main, s, NULL);
	return true;
}

static bool
stay_silent(const struct server *s)
{
	while (s->down)
		sleep_ms(10);
	return false;
}

static bool
serve_report(const struct server *s, int fd)
{
	char body[512];
	int n = snprintf(body, sizeof(body),
	    "{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":0,\"queued\":0,"
	    "\"active\":0,\"kv_used\":0,\"kv_total\":0,\"handles\":0,\"born\":%lld}",
	    s->born);

	return reply(fd, 200, "Content-Type: application/json\r\n", body, (size_t)n);
}

static bool
serve_server(struct door *d, int fd, struct request *rq)
{
	struct server *s = &servers[d->a];
	char expected[64], fields[512], body[128];
	struct run r = {.server = d->a, .relay = d->b};
	bool is_stream = starts(rq->target, "/draft/"), deadly;
	int n;

	if (s->silent)
		return stay_silent(s);
	if (strcmp(rq->target, "/lavenderdrift/report") == 0)
		return serve_report(s, fd);
	snprintf(fields, sizeof(fields), "X-Instance-Id: %s\r\n", s->id);
	if (field(rq->head, "X-Expect-Instance", expected, sizeof(expected)) != NULL &&
	    strcmp(expected, s->id) != 0)
		return reply(fd, 421, fields, "", 0);
	if (strcmp(rq->target, "/health") == 0)
		return reply(fd, s->leaving ? 503 : 200, fields, "", 0);
	if (strcmp(rq->target, "/lavenderdrift/order") == 0)
		return reply(fd, 400, "", "", 0);
	if (field(rq->head, "X-Attempt-Id", r.id, sizeof(r.id)) == NULL)
		return reply(fd, 400, "X-Not-Executed: 1\r\n", "", 0);
	snprintf(r.path, sizeof(r.path), "%.63s", rq->target);
	r.at_ms = now_ms();
	r.leaving = s->leaving;
	add_run(&r);
	record("%s (%s) runs %s %s %s, sent by %s%s", s->id, s->service, rq->method, rq->target,
	    r.id, relay_name(d->b), r.leaving ? "; it is leaving" : "");
	deadly = crashes_server(s, rq);
	if (deadly && crash_kind.silent)
		return stay_silent(s);
	if (deadly) {
		snprintf(fields, sizeof(fields),
		    "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: %s.x\r\n"
		    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		    r.id, s->id);
		write_all(fd, fields, strlen(fields));
		sleep_ms(CRASH_AFTER_MS + 1000);
		return false;
	}
	sleep_ms(s->work_ms);
	if (s->silent)
		return stay_silent(s);
	/* All answers from then on say so. */
	r.leaving = s->leaving;
	if (is_stream)
		n = snprintf(body, sizeof(body),
		    "id: 1\ndata: %s of %s did %s\n\nid: 2\ndata: end\n\n", s->id, s->service,
		    r.id);
	else
		n = snprintf(body, sizeof(body), "%s of %s did %s\n", s->id, s->service, r.id);
	snprintf(fields, sizeof(fields),
	    "X-Attempt-Id: %s\r\nX-Server-Signature: %s.%s\r\nContent-Type: text/%s\r\n%s", r.id,
	    s->id, s->service, is_stream ? "event-stream" : "plain",
	    r.leaving ? "Server-Leaving: 1\r\n" : "");
	return reply(fd, 200, fields, body, (size_t)n);
}

static void
write_entry(struct server *s, int index)
{
	char key[64], value[512];

	snprintf(key, sizeof(key), "servers/%s", s->id);
	snprintf(value, sizeof(value),
	    "{\"service\":\"%s\",\"address\":\"@%d@\",\"zone\":\"%s\",\"version\":\"v1\","
	    "\"slots\":6,\"state\":\"%s\",\"warmup_left_ms\":0,\"born\":%lld,\"sequence\":%lld}",
	    s->service, index, s->zone, s->leaving ? "draining" : "ready", s->born,
	    ++s->sequence);
	store_put(key, value);
}

static void *
heartbeat_main(void *arg)
{
	struct server *s = arg;

	for (;;) {
		sleep_ms(HEARTBEAT_MS);
		if (s->down)
			continue;
		write_entry(s, (int)(s - servers));
	}
	return NULL;
}

int
server_add(const char *id, const char *service, const char *zone, long work_ms)
{
	struct server *s = &servers[server_count];
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	snprintf(s->id, sizeof(s->id), "%s", id);
	snprintf(s->service, sizeof(s->service), "%s", service);
	snprintf(s->zone, sizeof(s->zone), "%s", zone);
	s->work_ms = work_ms;
	s->born = (long long)t.tv_sec * 1000;
	for (int r = 0; r < relay_count; r++)
		door_init(&s->doors[r], serve_server, server_count, r);
	write_entry(s, server_count);
	start_thread(heartbeat_main, s, NULL);
	return server_count++;
}

void
server_leave(int s)
{
	servers[s].leaving = true;
	write_entry(&servers[s], s);
	record("%s leaves: its entry says draining, its answers say Server-Leaving",
	    servers[s].id);
}

/* ---- Relays ---- */

struct relay {
	char name[32], zone[32], config[320], log[320];
	int entry, ready, peers, metrics;
	struct door store;
	pid_t pid;
};

static struct relay relays[RELAYS_MAX];

const char *
relay_name(int r)
{
	return relays[r].name;
}

int
relay_add(const char *name, const char *zone)
{
	struct relay *r = &relays[relay_count];

	if (server_count > 0)
		could_not_run("relays come before servers");
	snprintf(r->name, sizeof(r->name), "%s", name);
	snprintf(r->zone, sizeof(r->zone), "%s", zone);
	r->entry = free_port();
	r->ready = free_port();
	r->peers = free_port();
	r->metrics = free_port();
	door_init(&r->store, serve_store, relay_count, 0);
	snprintf(r->config, sizeof(r->config), "%s/%s.json", folder, name);
	snprintf(r->log, sizeof(r->log), "%s/%s.log", folder, name);
	return relay_count++;
}

static void
write_settings(const struct relay *r, bool initial)
{
	FILE *f = fopen(r->config, "w");

	if (f == NULL)
		could_not_run("no settings file");
	fprintf(f,
	    "{\"node\":{\"name\":\"%s\",\"failure_domain\":\"%s\",\"initial_start\":%s,"
	    "\"max_descriptors\":1000,\"memory_mb\":260,\"processor_share\":0.25},"
	    "\"entry\":{\"listen\":\"127.0.0.1:%d\"},\"readiness\":{\"listen\":\"127.0.0.1:%d\"},"
	    "\"peers\":{\"port\":%d},\"metrics\":{\"port\":%d},"
	    "\"store\":{\"address\":\"127.0.0.1:%d\"},"
	    "\"bounds\":{\"strict_revocation\":true,\"revoke_ms\":5000,\"drain_ms\":2000,"
	    "\"grace_s\":8,\"config_apply_ms\":2000,\"stall_ms\":5000,\"fencing_required\":true,"
	    "\"repeat_ratio\":0.2,\"repeat_extra\":134,\"repeat_window_s\":10}}\n",
	    r->name, r->zone, initial ? "true" : "false", r->entry, r->ready, r->peers,
	    r->metrics, r->store.port);
	fclose(f);
}

void
relay_start(int i, bool initial)
{
	struct relay *r = &relays[i];

	write_settings(r, initial);
	r->pid = fork();
	if (r->pid == 0) {
		/* It ends with this process, however that ends. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		int fd = open(r->log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		dup2(fd, 1);
		dup2(fd, 2);
		execl(relay_program, relay_program, "relay", "-c", r->config, (char *)NULL);
		_exit(127);
	}
	record("%s starts", r->name);
}

void
relay_signal(int i, int sig)
{
	record("%s gets signal %d", relays[i].name, sig);
	kill(relays[i].pid, sig);
	if (sig == SIGKILL) {
		waitpid(relays[i].pid, NULL, 0);
		relays[i].pid = 0;
	}
}

void
relay_view(int i, enum view_state s)
{
	static const char *const names[] = {"serves", "turns away (503)", "is partitioned from"};

	record("the store %s %s", names[s], relays[i].name);
	if (s == VIEW_CUT && views[i] != VIEW_CUT)
		door_close(&relays[i].store);
	if (s != VIEW_CUT && views[i] == VIEW_CUT)
		door_open(&relays[i].store);
	views[i] = s;
}

void
relay_path(int i, bool open)
{
	record("%s %s all servers", relays[i].name,
	    open ? "is connected again with" : "is partitioned from");
	for (int s = 0; s < server_count; s++) {
		if (open)
			door_open(&servers[s].doors[i]);
		else
			door_close(&servers[s].doors[i]);
	}
}

bool
relay_log_has(int i, const char *a, const char *b)
{
	FILE *f = fopen(relays[i].log, "r");
	char line[4096];
	bool found = false;

	while (f != NULL && !found && fgets(line, sizeof(line), f) != NULL)
		found = strstr(line, a) != NULL && strstr(line, b) != NULL;
	if (f != NULL)
		fclose(f);
	return found;
}

/* ---- Clients ---- */

static int
connect_to(int port)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	a.sin_port = htons((uint16_t)port);
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

static int
read_answer(int fd, long timeout_ms, char *buf, size_t size)
{
	long ends = now_ms() + timeout_ms;
	size_t len = 0;
	int code = 0;

	for (;;) {
		struct pollfd p = {.fd = fd, .events = POLLIN};
		long left = ends - now_ms();
		char *head, text[32];
		ssize_t n;

		buf[len] = '\0';
		head = strstr(buf, "\r\n\r\n");
		if (head != NULL) {
			size_t body = len - (size_t)(head + 4 - buf), length = 0;

			if (field(buf, "Content-Length", text, sizeof(text)) != NULL)
				length = strtoul(text, NULL, 10);
			if (field(buf, "Transfer-Encoding", text, sizeof(text)) != NULL &&
			    strstr(head + 2, "\r\n0\r\n\r\n") == NULL)
				length = size;
			if (body >= length && sscanf(buf, "HTTP/1.1 %d", &code) == 1)
				return code;
		}
		if (left <= 0 || len + 1 >= size || poll(&p, 1, (int)left) <= 0)
			return 0;
		n = recv(fd, buf + len, size - 1 - len, 0);
		if (n <= 0)
			return 0;
		len += (size_t)n;
	}
}

bool
relay_is_ready(int i)
{
	static const char ask[] = "GET /lavenderdrift/readiness HTTP/1.1\r\nHost: r\r\n\r\n";
	int fd = connect_to(relays[i].ready);
	char buf[2048];
	int code;

	if (fd < 0)
		return false;
	write_all(fd, ask, sizeof(ask) - 1);
	code = read_answer(fd, 500, buf, sizeof(buf));
	close(fd);
	return code == 200;
}

struct answer
client_ask(int relay, const char *method, const char *path, long deadline_ms)
{
	return client_ask_with(relay, method, path, deadline_ms, "");
}

struct answer
client_ask_with(int relay, const char *method, const char *path, long deadline_ms,
    const char *more)
{
	static unsigned long counter;
	struct answer a = {.sent_ms = now_ms()};
	char rq[12288], buf[8192], text[64], body[BODY_BYTES + 1];
	bool post = strcmp(method, "POST") == 0;
	int fd, n;

	memset(body, 'x', BODY_BYTES);
	body[BODY_BYTES] = '\0';

	snprintf(a.id, sizeof(a.id), "%08lx%08lx", (unsigned long)getpid(),
	    __atomic_add_fetch(&counter, 1, __ATOMIC_SEQ_CST));
	record("client sends %s %s %s to %s", method, path, a.id, relays[relay].name);
	fd = connect_to(relays[relay].entry);
	if (fd >= 0) {
		n = snprintf(rq, sizeof(rq),
		    "%s %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %ld\r\n"
		    "Authorization: Bearer k1\r\n%sContent-Length: %d\r\n\r\n%s",
		    method, path, a.id, deadline_ms, more, post ? BODY_BYTES : 0,
		    post ? body : "");
		if (write_all(fd, rq, (size_t)n))
			a.code = read_answer(fd, deadline_ms + 500, buf, sizeof(buf));
		if (a.code != 0) {
			a.is_signed = field(buf, "X-Server-Signature", a.signature,
					  sizeof(a.signature)) != NULL;
			a.leaving =
			    field(buf, "Server-Leaving", text, sizeof(text)) != NULL &&
			    strcmp(text, "1") == 0;
		}
		close(fd);
	}
	a.done_ms = now_ms();
	record("client gets %d for %s%s%s%s", a.code, a.id, a.is_signed ? ", signed " : "",
	    a.is_signed ? a.signature : "", a.leaving ? ", Server-Leaving" : "");
	return a;
}

struct ask {
	struct pace *pace;
	size_t at;
};

static pthread_mutex_t pace_lock = PTHREAD_MUTEX_INITIALIZER;

static void *
ask_main(void *arg)
{
	struct ask *k = arg;
	struct pace *p = k->pace;
	char fields[8192] = "";
	struct answer a;

	if (p->fields != NULL)
		p->fields(fields, sizeof(fields), k->at);
	a = client_ask_with(p->relay, p->method, p->path, p->deadline_ms, fields);

	pthread_mutex_lock(&pace_lock);
	p->answers[k->at] = a;
	p->open--;
	pthread_mutex_unlock(&pace_lock);
	free(k);
	return NULL;
}

static void *
pace_main(void *arg)
{
	struct pace *p = arg;
	long next = now_ms();

	while (!p->stop && p->count < p->capacity) {
		struct ask *k = malloc(sizeof(*k));

		pthread_mutex_lock(&pace_lock);
		*k = (struct ask){p, p->count++};
		p->open++;
		pthread_mutex_unlock(&pace_lock);
		start_thread(ask_main, k, NULL);
		next += p->every_ms;
		sleep_until_ms(next);
	}
	return NULL;
}

void
pace_begin(struct pace *p)
{
	pthread_t *t = malloc(sizeof(*t));

	p->capacity = 20000;
	p->answers = calloc(p->capacity, sizeof(*p->answers));
	start_thread(pace_main, p, t);
	p->thread = t;
}

void
pace_end(struct pace *p)
{
	p->stop = true;
	pthread_join(*(pthread_t *)p->thread, NULL);
	for (;;) {
		int open;

		pthread_mutex_lock(&pace_lock);
		open = p->open;
		pthread_mutex_unlock(&pace_lock);
		if (open == 0)
			return;
		sleep_ms(10);
	}
}

/* ---- All ---- */

static void
on_stop(int sig)
{
	for (int i = 0; i < relay_count; i++)
		if (relays[i].pid > 0)
			kill(relays[i].pid, SIGKILL);
	_exit(2);
}

void
world_open(const char *record_path, const char *program)
{
	const char *tmp = getenv("TMPDIR");

	clock_gettime(CLOCK_MONOTONIC, &started);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_stop);
	signal(SIGINT, on_stop);
	relay_program = program;
	record_file = fopen(record_path, "w");
	if (access(program, X_OK) != 0)
		could_not_run("the relay is not built");
	snprintf(folder, sizeof(folder), "%s/review-XXXXXX", tmp != NULL ? tmp : "/tmp");
	if (mkdtemp(folder) == NULL)
		could_not_run("no temporary folder");
	start_thread(lease_main, NULL, NULL);
}

void
world_close(void)
{
	const char *keep = getenv("KEEP_LOGS");

	for (int i = 0; i < relay_count; i++)
		if (relays[i].pid > 0) {
			kill(relays[i].pid, SIGCONT);
			kill(relays[i].pid, SIGKILL);
			waitpid(relays[i].pid, NULL, 0);
		}
	for (int i = 0; i < relay_count && keep == NULL; i++) {
		unlink(relays[i].config);
		unlink(relays[i].log);
	}
	if (keep == NULL)
		rmdir(folder);
	else
		fprintf(stderr, "logs in %s\n", folder);
	if (record_file != NULL)
		fflush(record_file);
}
