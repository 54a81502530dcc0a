/* See world.h. */
#include <arpa/inet.h>
#include <errno.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
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

#include "world.h"

#define RELAYS_MAX 8
#define CHANGES_MAX 20000
#define LEASES_MAX 1000
#define PAGE_ITEMS 500

static uint64_t start_ms;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char log_dir[256];
static struct relay *relays[RELAYS_MAX];
static size_t relay_count;

/* ---- Time, record ---- */

uint64_t
now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

void
sleep_ms(uint64_t ms)
{
	struct timespec t = {(time_t)(ms / 1000), (long)(ms % 1000) * 1000000};

	while (nanosleep(&t, &t) != 0 && errno == EINTR)
		;
}

void
sleep_until(uint64_t at_ms)
{
	uint64_t now = now_ms();

	if (at_ms > now)
		sleep_ms(at_ms - now);
}

void
record(const char *fmt, ...)
{
	char text[1024];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%8.3f %s\n", (double)(now_ms() - start_ms) / 1000,
	    text);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

static void
end_processes(void)
{
	for (size_t i = 0; i < relay_count; i++)
		if (relays[i]->pid > 0) {
			kill(relays[i]->pid, SIGKILL);
			waitpid(relays[i]->pid, NULL, 0);
			relays[i]->pid = 0;
		}
}

static void
on_alarm(int signum)
{
	(void)signum;
	for (size_t i = 0; i < relay_count; i++)
		if (relays[i]->pid > 0)
			kill(relays[i]->pid, SIGKILL);
	_exit(2);
}

void
world_open(unsigned int limit_s)
{
	const char *name = getenv("RECORD"), *dir = getenv("LOGS");

	start_ms = now_ms();
	record_file = fopen(name != NULL ? name : "record.txt", "w");
	if (record_file == NULL)
		exit(2);
	snprintf(log_dir, sizeof(log_dir), "%s", dir != NULL ? dir : ".");
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_alarm);
	signal(SIGTERM, on_alarm);
	signal(SIGINT, on_alarm);
	alarm(limit_s);
	if (sodium_init() < 0)
		exit(2);
}

void
world_cannot_run(const char *why)
{
	record("the case couldn't run: %s", why);
	end_processes();
	_exit(2);
}

void
world_end(bool broken)
{
	record(broken ? "the rule was broken" : "the rule held");
	end_processes();
	_exit(broken ? 1 : 0);
}

bool
trouble(void)
{
	const char *t = getenv("TROUBLE");

	return t == NULL || strcmp(t, "0") != 0;
}

/* ---- HTTP ---- */

const char *
field(const struct message *m, const char *name, char out[512])
{
	size_t n = strlen(name);
	const char *p = strstr(m->head, "\r\n");

	out[0] = '\0';
	while (p != NULL && p[2] != '\0' && p[2] != '\r') {
		p += 2;
		if (strncasecmp(p, name, n) == 0 && p[n] == ':') {
			p += n + 1;
			while (*p == ' ')
				p++;
			snprintf(out, 512, "%.*s", (int)strcspn(p, "\r"), p);
			return out;
		}
		p = strstr(p, "\r\n");
	}
	return out;
}

void
target_of(const struct message *m, char method[16], char target[1024])
{
	method[0] = target[0] = '\0';
	sscanf(m->head, "%15s %1023s", method, target);
}

int
code_of(const struct message *m)
{
	int code = 0;

	sscanf(m->head, "HTTP/1.1 %d", &code);
	return code;
}

static bool
read_more(struct connection *c)
{
	ssize_t n;

	if (c->in_len == sizeof(c->in))
		return false;
	n = recv(c->fd, c->in + c->in_len, sizeof(c->in) - c->in_len, 0);
	if (n <= 0)
		return false;
	c->in_len += (size_t)n;
	return true;
}

static void
take(struct connection *c, size_t n)
{
	memmove(c->in, c->in + n, c->in_len - n);
	c->in_len -= n;
}

static bool
read_exactly(struct connection *c, struct message *m, size_t n)
{
	while (c->in_len < n)
		if (!read_more(c))
			return false;
	if (m->body_len + n >= sizeof(m->body))
		return false;
	memcpy(m->body + m->body_len, c->in, n);
	m->body_len += n;
	m->body[m->body_len] = '\0';
	take(c, n);
	return true;
}

static bool
read_chunks(struct connection *c, struct message *m)
{
	for (;;) {
		char *end;
		size_t n, line;

		while ((end = memmem(c->in, c->in_len, "\r\n", 2)) == NULL)
			if (!read_more(c))
				return false;
		n = strtoul(c->in, NULL, 16);
		line = (size_t)(end - c->in) + 2;
		take(c, line);
		if (!read_exactly(c, m, n))
			return false;
		while (c->in_len < 2)
			if (!read_more(c))
				return false;
		take(c, 2);
		if (n == 0)
			return true;
	}
}

bool
read_message(struct connection *c, struct message *m)
{
	char text[512], *end;
	size_t n;

	m->body_len = 0;
	m->body[0] = '\0';
	m->complete = false;
	m->head[0] = '\0';
	while ((end = memmem(c->in, c->in_len, "\r\n\r\n", 4)) == NULL)
		if (!read_more(c))
			return false;
	n = (size_t)(end - c->in) + 4;
	if (n >= sizeof(m->head))
		return false;
	memcpy(m->head, c->in, n);
	m->head[n] = '\0';
	take(c, n);
	if (strcasecmp(field(m, "Transfer-Encoding", text), "chunked") == 0)
		m->complete = read_chunks(c, m);
	else
		m->complete = read_exactly(c, m,
		    strtoul(field(m, "Content-Length", text), NULL, 10));
	return m->complete;
}

bool
write_all(int fd, const char *p, size_t n)
{
	while (n > 0) {
		ssize_t done = send(fd, p, n, MSG_NOSIGNAL);

		if (done <= 0)
			return false;
		p += done;
		n -= (size_t)done;
	}
	return true;
}

static const char *
reason(int code)
{
	switch (code) {
	case 200:
		return "OK";
	case 202:
		return "Accepted";
	case 404:
		return "Not Found";
	case 409:
		return "Conflict";
	case 410:
		return "Gone";
	case 412:
		return "Precondition Failed";
	case 421:
		return "Misdirected Request";
	default:
		return "Other";
	}
}

bool
answer(struct connection *c, int code, const char *fields, const char *body)
{
	size_t size = strlen(body) + strlen(fields) + 256;
	char *text = malloc(size);
	int n = snprintf(text, size,
	    "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n%s\r\n%s", code,
	    reason(code), strlen(body), fields, body);
	bool ok = write_all(c->fd, text, (size_t)n);

	free(text);
	return ok;
}

struct listener {
	int fd;
	bool (*serve)(struct connection *c, struct message *m);
	void *user;
};

struct accepted {
	struct connection c;
	bool (*serve)(struct connection *c, struct message *m);
};

static void *
connection_thread(void *arg)
{
	struct accepted *a = arg;
	struct message *m = malloc(sizeof(*m));

	while (read_message(&a->c, m) && a->serve(&a->c, m))
		;
	close(a->c.fd);
	free(m);
	free(a);
	return NULL;
}

static void *
listener_thread(void *arg)
{
	struct listener *l = arg;

	for (;;) {
		int fd = accept(l->fd, NULL, NULL), on = 1;
		struct accepted *a;
		pthread_t t;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		a = calloc(1, sizeof(*a));
		a->c.fd = fd;
		a->c.user = l->user;
		a->serve = l->serve;
		if (pthread_create(&t, NULL, connection_thread, a) == 0)
			pthread_detach(t);
	}
	return NULL;
}

static int
bind_loopback(uint16_t *port)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	socklen_t len = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 ||
	    getsockname(fd, (struct sockaddr *)&a, &len) != 0)
		world_cannot_run("no free port");
	*port = ntohs(a.sin_port);
	return fd;
}

uint16_t
listen_on_loopback(
    bool (*serve)(struct connection *c, struct message *m), void *user)
{
	struct listener *l = malloc(sizeof(*l));
	uint16_t port;
	pthread_t t;

	l->fd = bind_loopback(&port);
	l->serve = serve;
	l->user = user;
	if (listen(l->fd, 512) != 0 ||
	    pthread_create(&t, NULL, listener_thread, l) != 0)
		world_cannot_run("no listener");
	pthread_detach(t);
	return port;
}

int
ask(uint16_t port, const char *request, unsigned int timeout_ms,
    struct message *out)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};
	struct timeval tv = {timeout_ms / 1000, (timeout_ms % 1000) * 1000};
	struct connection *c = calloc(1, sizeof(*c));
	bool got;

	out->head[0] = '\0';
	out->complete = false;
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(c->fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	got = connect(c->fd, (struct sockaddr *)&a, sizeof(a)) == 0 &&
	    write_all(c->fd, request, strlen(request)) && read_message(c, out);
	close(c->fd);
	free(c);
	return got ? code_of(out) : 0;
}

/* ---- The store ---- */

/** struct change - @value NULL: the key was deleted */
struct change {
	long revision;
	uint64_t at_ms;
	char *key;
	char *value;
	long created;
	long lease;
};

struct lease {
	long id;
	uint64_t ttl_ms;
	uint64_t ends_ms;
	uint64_t granted_ms;
};

struct store {
	pthread_mutex_t lock;
	struct change changes[CHANGES_MAX];
	size_t count;
	long revision;
	long floor; /* watches from before get 410 */
	long era;
	unsigned int cuts; /* of watches that wait */
	struct lease leases[LEASES_MAX];
	size_t lease_count;
	long next_lease;
	struct store_faults faults;
	uint16_t port;
};

uint16_t
store_port(const struct store *s)
{
	return s->port;
}

struct store_faults *
store_faults(struct store *s)
{
	return &s->faults;
}

/* The last change of @key up to then, NULL if there is none or it was deleted. */
static struct change *
find(struct store *s, const char *key, uint64_t at_ms)
{
	for (size_t i = s->count; i-- > 0;) {
		struct change *c = &s->changes[i];

		if (c->at_ms <= at_ms && strcmp(c->key, key) == 0)
			return c->value != NULL ? c : NULL;
	}
	return NULL;
}

static void
add_change(struct store *s, long revision, const char *key, const char *value,
    long lease)
{
	struct change *before = find(s, key, UINT64_MAX);
	struct change *c = &s->changes[s->count];

	if (s->count + 1 == CHANGES_MAX)
		world_cannot_run("too many changes");
	c->revision = revision;
	c->at_ms = now_ms();
	c->key = strdup(key);
	c->value = value != NULL ? strdup(value) : NULL;
	c->created = before != NULL ? before->created : revision;
	c->lease = lease;
	s->count++;
}

/* Keys whose lease has ended are removed. */
static void
end_leases(struct store *s)
{
	uint64_t now = now_ms();

	for (size_t i = 0; i < s->lease_count; i++) {
		struct lease *l = &s->leases[i];

		if (l->id == 0 || now < l->ends_ms)
			continue;
		for (size_t k = s->count; k-- > 0;) {
			struct change *c = &s->changes[k];

			if (c->lease == l->id && c->value != NULL &&
			    find(s, c->key, UINT64_MAX) == c)
				add_change(s, ++s->revision, c->key, NULL, 0);
		}
		l->id = 0;
	}
}

static struct lease *
find_lease(struct store *s, long id)
{
	for (size_t i = 0; i < s->lease_count; i++)
		if (s->leases[i].id == id && id != 0)
			return &s->leases[i];
	return NULL;
}

static json_t *
item_json(const struct change *c)
{
	size_t n = strlen(c->value != NULL ? c->value : "");
	char *text = malloc(2 * n + 8);
	json_t *j;

	if (c->value == NULL) {
		free(text);
		return json_pack("{s:s, s:I, s:b}", "key", c->key, "revision",
		    (json_int_t)c->revision, "deleted", 1);
	}
	sodium_bin2base64(text, 2 * n + 8, (const unsigned char *)c->value, n,
	    sodium_base64_VARIANT_ORIGINAL);
	j = json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", c->key, "value", text,
	    "revision", (json_int_t)c->revision, "created",
	    (json_int_t)c->created, "lease", (json_int_t)c->lease);
	free(text);
	return j;
}

static bool
answer_json(struct connection *c, int code, json_t *o)
{
	struct store *s = c->user;
	char fields[128], *text = o != NULL ? json_dumps(o, 0) : strdup("");
	bool ok;

	snprintf(fields, sizeof(fields),
	    "Content-Type: application/json\r\nStore-Era: %ld\r\n", s->era);
	ok = answer(c, code, fields, text);
	free(text);
	json_decref(o);
	return ok;
}

static void
parameter(const char *target, const char *name, char *out, size_t size)
{
	const char *p = strchr(target, '?');
	size_t n = strlen(name), k = 0;

	out[0] = '\0';
	while (p != NULL) {
		p++;
		if (strncmp(p, name, n) == 0 && p[n] == '=') {
			for (p += n + 1; *p != '\0' && *p != '&' && k + 1 < size;
			     p++) {
				unsigned int hex = 0;

				if (*p == '%' && sscanf(p + 1, "%2x", &hex) == 1)
					p += 2;
				out[k++] = hex != 0 ? (char)hex : *p;
			}
			out[k] = '\0';
			return;
		}
		p = strchr(p, '&');
	}
}

static int
compare_keys(const void *a, const void *b)
{
	const struct change *const *x = a, *const *y = b;

	return strcmp((*x)->key, (*y)->key);
}

static bool
serve_range(struct connection *c, const char *target)
{
	struct store *s = c->user;
	char prefix[256], after[256], serializable[8];
	struct change **found = calloc(CHANGES_MAX, sizeof(*found));
	json_t *items = json_array();
	uint64_t at_ms = UINT64_MAX;
	long at = s->revision;
	size_t n = 0, sent = 0, i = 0;
	bool ok;

	parameter(target, "prefix", prefix, sizeof(prefix));
	parameter(target, "after", after, sizeof(after));
	parameter(target, "serializable", serializable, sizeof(serializable));
	if (serializable[0] == '1' && s->faults.stale_ms > 0) {
		at_ms = now_ms() - s->faults.stale_ms;
		at = 1;
		for (size_t k = 0; k < s->count; k++)
			if (s->changes[k].at_ms <= at_ms)
				at = s->changes[k].revision;
		record("store: a copy of %llu ms ago is read, revision %ld",
		    (unsigned long long)s->faults.stale_ms, at);
	}
	for (size_t k = 0; k < s->count; k++) {
		struct change *x = &s->changes[k];

		if (x->at_ms <= at_ms &&
		    strncmp(x->key, prefix, strlen(prefix)) == 0 &&
		    strcmp(x->key, after) > 0 && find(s, x->key, at_ms) == x)
			found[n++] = x;
	}
	qsort(found, n, sizeof(*found), compare_keys);
	for (; i < n && sent < PAGE_ITEMS; i++, sent++)
		json_array_append_new(items, item_json(found[i]));
	ok = answer_json(c, 200,
	    json_pack("{s:o, s:b, s:I}", "items", items, "has_more", i < n,
		"at", (json_int_t)at));
	free(found);
	return ok;
}

static bool
serve_key(struct connection *c, const char *target)
{
	struct store *s = c->user;
	char key[256];
	struct change *x;
	json_t *o;

	parameter(target, "key", key, sizeof(key));
	x = find(s, key, UINT64_MAX);
	if (x == NULL)
		return answer_json(c, 404, NULL);
	o = item_json(x);
	json_object_set_new(o, "at", json_integer(s->revision));
	return answer_json(c, 200, o);
}

static json_t *
events_after(struct store *s, const char *prefix, long after)
{
	json_t *list = json_array();

	for (size_t i = 0; i < s->count; i++)
		if (s->changes[i].revision > after &&
		    strncmp(s->changes[i].key, prefix, strlen(prefix)) == 0)
			json_array_append_new(list, item_json(&s->changes[i]));
	return list;
}

static bool
serve_watch(struct connection *c, const char *target)
{
	struct store *s = c->user;
	char prefix[256], text[32];
	unsigned int cuts = s->cuts;
	uint64_t until;
	json_t *events;
	long after, at;

	parameter(target, "prefix", prefix, sizeof(prefix));
	parameter(target, "after", text, sizeof(text));
	after = atol(text);
	parameter(target, "wait_ms", text, sizeof(text));
	until = now_ms() + strtoul(text, NULL, 10);
	for (;;) {
		if (s->cuts != cuts || s->faults.away)
			return false;
		if (after < s->floor || after > s->revision)
			return answer_json(c, 410, NULL);
		events = s->faults.deaf ? json_array()
					: events_after(s, prefix, after);
		at = s->faults.deaf ? after : s->revision;
		if (json_array_size(events) > 0 || now_ms() >= until)
			return answer_json(c, 200,
			    json_pack("{s:o, s:I}", "events", events, "at",
				(json_int_t)at));
		json_decref(events);
		pthread_mutex_unlock(&s->lock);
		sleep_ms(3);
		pthread_mutex_lock(&s->lock);
		end_leases(s);
	}
}

static bool
serve_txn(struct connection *c, const char *body)
{
	struct store *s = c->user;
	json_t *o = json_loads(body, 0, NULL), *row, *now_there = json_array();
	json_t *expected = json_object_get(o, "expected");
	json_t *put = json_object_get(o, "put");
	json_t *delete = json_object_get(o, "delete");
	bool holds = true, lease_ok = true;
	size_t i;

	json_array_foreach(expected, i, row) {
		const char *key = json_string_value(json_object_get(row, "key"));
		struct change *x = find(s, key, UINT64_MAX);

		holds &= json_integer_value(json_object_get(row, "revision")) ==
		    (x != NULL ? x->revision : 0);
		if (x != NULL)
			json_array_append_new(now_there, item_json(x));
	}
	json_array_foreach(put, i, row) {
		long id = json_integer_value(json_object_get(row, "lease"));

		lease_ok &= id == 0 || find_lease(s, id) != NULL;
	}
	if (!lease_ok || !holds) {
		json_decref(o);
		if (!lease_ok) {
			json_decref(now_there);
			return answer_json(c, 404, NULL);
		}
		return answer_json(
		    c, 412, json_pack("{s:o}", "items", now_there));
	}
	json_decref(now_there);
	s->revision++;
	json_array_foreach(put, i, row) {
		const char *v = json_string_value(json_object_get(row, "value"));
		size_t len = strlen(v), n = 0;
		unsigned char *value = calloc(1, len + 1);

		sodium_base642bin(value, len, v, len, NULL, &n, NULL,
		    sodium_base64_VARIANT_ORIGINAL);
		add_change(s, s->revision,
		    json_string_value(json_object_get(row, "key")),
		    (char *)value,
		    json_integer_value(json_object_get(row, "lease")));
		free(value);
	}
	json_array_foreach(delete, i, row)
		if (find(s, json_string_value(row), UINT64_MAX) != NULL)
			add_change(s, s->revision, json_string_value(row), NULL, 0);
	json_decref(o);
	return answer_json(c, 200,
	    json_pack("{s:I}", "revision", (json_int_t)s->revision));
}

static bool
serve_lease(struct connection *c, const char *target, const char *body)
{
	struct store *s = c->user;
	struct lease *l;
	json_t *o;

	if (strncmp(target, "/lavenderdrift/kv-keep/", 23) == 0) {
		l = find_lease(s, atol(target + 23));
		if (l == NULL)
			return answer_json(c, 404, NULL);
		l->ends_ms = now_ms() + l->ttl_ms;
		return answer_json(c, 200,
		    json_pack("{s:I}", "ttl_ms", (json_int_t)l->ttl_ms));
	}
	if (strncmp(target, "/lavenderdrift/kv-lease-end/", 28) == 0) {
		l = find_lease(s, atol(target + 28));
		if (l != NULL)
			l->ends_ms = 0;
		end_leases(s);
		return answer_json(c, 200, json_object());
	}
	if (s->lease_count == LEASES_MAX)
		world_cannot_run("too many leases");
	o = json_loads(body, 0, NULL);
	l = &s->leases[s->lease_count++];
	l->id = s->next_lease++;
	l->ttl_ms = (uint64_t)json_integer_value(json_object_get(o, "ttl_ms"));
	l->granted_ms = now_ms();
	l->ends_ms = l->granted_ms + l->ttl_ms;
	json_decref(o);
	return answer_json(c, 200,
	    json_pack("{s:I, s:I}", "lease", (json_int_t)l->id, "ttl_ms",
		(json_int_t)l->ttl_ms));
}

static bool
serve_store(struct connection *c, struct message *m)
{
	struct store *s = c->user;
	char method[16], target[1024];
	bool ok;

	target_of(m, method, target);
	sleep_ms(4);
	pthread_mutex_lock(&s->lock);
	end_leases(s);
	if (s->faults.away)
		ok = false;
	else if (strncmp(target, "/lavenderdrift/kv-range", 23) == 0)
		ok = serve_range(c, target);
	else if (strncmp(target, "/lavenderdrift/kv-key", 21) == 0)
		ok = serve_key(c, target);
	else if (strncmp(target, "/lavenderdrift/kv-watch", 23) == 0)
		ok = serve_watch(c, target);
	else if (strncmp(target, "/lavenderdrift/kv-txn", 21) == 0)
		ok = serve_txn(c, m->body);
	else if (strncmp(target, "/lavenderdrift/kv-", 18) == 0)
		ok = serve_lease(c, target, m->body);
	else
		ok = answer_json(c, 400, NULL);
	pthread_mutex_unlock(&s->lock);
	return ok;
}

struct store *
store_new(void)
{
	struct store *s = calloc(1, sizeof(*s));

	pthread_mutex_init(&s->lock, NULL);
	s->revision = 1;
	s->era = 1;
	s->next_lease = 70001;
	s->port = listen_on_loopback(serve_store, s);
	return s;
}

long
store_put(struct store *s, const char *key, const char *value)
{
	long revision;

	pthread_mutex_lock(&s->lock);
	revision = ++s->revision;
	add_change(s, revision, key, value, 0);
	pthread_mutex_unlock(&s->lock);
	return revision;
}

void
store_delete(struct store *s, const char *key)
{
	pthread_mutex_lock(&s->lock);
	if (find(s, key, UINT64_MAX) != NULL)
		add_change(s, ++s->revision, key, NULL, 0);
	pthread_mutex_unlock(&s->lock);
}

void
store_forget(struct store *s)
{
	pthread_mutex_lock(&s->lock);
	s->floor = s->revision;
	s->cuts++;
	pthread_mutex_unlock(&s->lock);
}

void
store_return_older(struct store *s, uint64_t age_ms)
{
	uint64_t now = now_ms();

	pthread_mutex_lock(&s->lock);
	while (s->count > 0 && s->changes[s->count - 1].at_ms > now - age_ms)
		s->count--;
	s->revision = s->count > 0 ? s->changes[s->count - 1].revision : 1;
	for (size_t i = 0; i < s->lease_count; i++) {
		if (s->leases[i].granted_ms > now - age_ms)
			s->leases[i].id = 0;
		s->leases[i].ends_ms = now + s->leases[i].ttl_ms;
	}
	s->floor = s->revision;
	s->era++;
	s->cuts++;
	pthread_mutex_unlock(&s->lock);
}

bool
store_value(struct store *s, const char *key, char *out, size_t size)
{
	struct change *c;

	pthread_mutex_lock(&s->lock);
	c = find(s, key, UINT64_MAX);
	snprintf(out, size, "%s", c != NULL ? c->value : "");
	pthread_mutex_unlock(&s->lock);
	return c != NULL;
}

/* ---- Relays ---- */

/* Below the ports that the kernel gives to connections: none of these takes the
 * port while its relay is down. */
static uint16_t
free_port(void)
{
	static unsigned int next;

	if (next == 0)
		next = (unsigned int)(randombytes_uniform(10000));
	for (int i = 0; i < 10000; i++) {
		struct sockaddr_in a = {.sin_family = AF_INET};
		unsigned int port = 20000 + (next++ % 10000);
		int tcp = socket(AF_INET, SOCK_STREAM, 0);
		int udp = socket(AF_INET, SOCK_DGRAM, 0);
		bool ok;

		a.sin_port = htons((uint16_t)port);
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		ok = bind(tcp, (struct sockaddr *)&a, sizeof(a)) == 0 &&
		    bind(udp, (struct sockaddr *)&a, sizeof(a)) == 0;
		close(tcp);
		close(udp);
		if (ok)
			return (uint16_t)port;
	}
	world_cannot_run("no free port");
}

static void
write_settings(const struct relay *r, const struct store *s, bool initial,
    const char *path)
{
	FILE *f = fopen(path, "w");

	if (f == NULL)
		world_cannot_run("no settings file");
	fprintf(f,
	    "{ \"node\": { \"name\": \"%s\", \"failure_domain\": \"zone-a\", "
	    "\"initial_start\": %s, \"max_descriptors\": 4100, "
	    "\"memory_mb\": 260, \"processor_share\": 0.25 },\n"
	    "\"entry\": { \"listen\": \"127.0.0.1:%u\" },\n"
	    "\"readiness\": { \"listen\": \"127.0.0.1:%u\" },\n"
	    "\"peers\": { \"port\": %u }, \"metrics\": { \"port\": %u },\n"
	    "\"store\": { \"address\": \"127.0.0.1:%u\" },\n"
	    "\"bounds\": { \"strict_revocation\": true, \"revoke_ms\": 5000, "
	    "\"drain_ms\": 2000, \"grace_s\": 8, \"config_apply_ms\": 2000, "
	    "\"stall_ms\": 5000, \"repeat_ratio\": 0.2, \"repeat_extra\": 134, "
	    "\"repeat_window_s\": 10 } }\n",
	    r->name, initial ? "true" : "false", r->entry, r->ready, r->peers,
	    r->metrics, s->port);
	fclose(f);
}

void
relay_start(
    struct relay *r, const char *name, const struct store *s, bool initial)
{
	char settings[512], log[512];
	bool known = false;

	for (size_t i = 0; i < relay_count; i++)
		known |= relays[i] == r;
	if (!known) {
		snprintf(r->name, sizeof(r->name), "%s", name);
		r->entry = free_port();
		r->ready = free_port();
		r->peers = free_port();
		r->metrics = free_port();
		relays[relay_count++] = r;
	}
	snprintf(settings, sizeof(settings), "%s/%s.json", log_dir, r->name);
	snprintf(log, sizeof(log), "%s/%s.log", log_dir, r->name);
	write_settings(r, s, initial, settings);
	r->pid = fork();
	if (r->pid == 0) {
		/* It ends with this process, however that ends. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (freopen(log, "a", stdout) == NULL ||
		    dup2(1, 2) < 0)
			_exit(127);
		execl("target/lavenderdrift", "target/lavenderdrift", "relay",
		    "-c", settings, (char *)NULL);
		_exit(127);
	}
	record("relay %s starts, process %d", r->name, (int)r->pid);
}

void
relay_kill(struct relay *r)
{
	kill(r->pid, SIGKILL);
	waitpid(r->pid, NULL, 0);
	record("relay %s is killed, process %d", r->name, (int)r->pid);
	r->pid = 0;
}

bool
relay_is_ready(const struct relay *r)
{
	struct message *m = malloc(sizeof(*m));
	int code = ask(r->ready,
	    "GET /lavenderdrift/readiness HTTP/1.1\r\nHost: x\r\n\r\n", 500, m);

	free(m);
	return code == 200;
}

void
relay_wait_ready(const struct relay *r, uint64_t within_ms)
{
	uint64_t until = now_ms() + within_ms;

	while (!relay_is_ready(r)) {
		if (now_ms() > until)
			world_cannot_run("a relay isn't ready");
		sleep_ms(20);
	}
	record("relay %s is ready", r->name);
}
