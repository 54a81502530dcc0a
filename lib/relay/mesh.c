/*
 * What the nodes tell each other: their load at each group, and groups whose
 * streams stand still. Datagrams of msgpack, sent to all nodes that have an
 * entry in the store. Losing them costs speed, never safety.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "follow_choice.h"
#include "mesh_speech.h"
#include "relay_internal.h"

/* The entry of a node that vanished ends after this, s. It says where a node is
 * met; whether it lives is told by its datagrams. */
#define ENTRY_TTL_S 30
/* Three renewals in the time of the lease: two may fail, ms. */
#define RENEW_MS 9000
#define TRY_AGAIN_MS 500
/* A node that is listed is taken to live for so long before it is heard, ms:
 * it waits for a configuration and for its own list of peers. */
#define FIRST_HEARD_MS 5000
/* Between two datagrams to a node, ms: a few of them within the time of a first
 * event; with many nodes as many in all, so that a node's share is bounded. */
#define TELL_MS 30
#define TELL_PER_NODE_MS 2
/* What a node told is used for so long, in times of the interval. */
#define TOLD_INTERVALS 6
/* Above the longest datagram: MESH_LOADS_MAX loads, MESH_ALARMS_MAX alarms. */
#define DATAGRAM_BYTES 2048
#define DATAGRAMS_PER_TURN 256
#define PEERS_MAX 512

/* Servers of which a peer's count of tokens is remembered: groups come and go,
 * but a fleet has some tens of heads at a time. */
#define TOTALS_MAX 128
/* A count that grows by more between two datagrams is an error of the peer, in
 * tokens: some hundred long prompts. */
#define TOKENS_AT_ONCE_MAX 400000

/** struct total - prompt tokens that a peer has sent to a server, as told */
struct total {
	uint32_t server;
	uint32_t tokens;
};

/** struct peer - another node */
struct peer {
	char name[LD_GROUP_NAME_MAX];
	struct sockaddr_in at;
	uint64_t processor_permille;
	bool same_domain; /* its failure domain is this node's */
	bool can_watch; /* as told last */
	uint64_t listed_ms; /* its entry was told last */
	uint64_t avoid_until_ms; /* as a delegate of the store's changes */
	uint64_t heard_ms;
	uint64_t told; /* number of the newest datagram */
	struct mesh_load loads[MESH_LOADS_MAX];
	size_t load_count;
	struct total totals[TOTALS_MAX];
	size_t total_count;
	size_t total_next; /* replaced next once there are so many */
};

enum entry_state {
	ENTRY_NONE,
	ENTRY_GRANTING,
	ENTRY_WRITING,
	ENTRY_LISTED
};

struct mesh {
	struct ld_store_call call; /* first member */
	struct relay *relay;
	int fd;
	ev_io io;
	struct peer *peers;
	size_t peer_count;
	uint64_t number; /* of the last datagram */
	uint64_t next_tell_ms;
	struct mesh_alarm alarms[MESH_ALARMS_MAX]; /* to be told */
	uint64_t alarmed_ms[MESH_ALARMS_MAX];
	size_t alarm_count;
	enum entry_state state;
	int64_t lease;
	uint64_t next_ms; /* of the entry: next renewal or try */
};

/* An alarm is told for so long, ms: some datagrams may be lost. */
#define ALARM_TOLD_MS 400

/* ---- What peers have told ---- */

/* An age that is told late makes the byte look newer, never older: a group is
 * taken for silent later, not for nothing. */
static void
note_peer_heard(struct ld_server *s, const struct mesh_load *l, uint64_t now)
{
	uint64_t at = now > l->heard_ago_ms ? now - l->heard_ago_ms : 0;

	if (l->heard_ago_ms < MESH_AGO_MAX_MS && at > s->peer_heard_ms)
		s->peer_heard_ms = at;
}

/* Counts what a peer has told, and takes it back before it tells anew. */
static void
count_told(struct relay *r, const struct peer *p, bool add)
{
	for (size_t i = 0; i < p->load_count; i++) {
		const struct mesh_load *l = &p->loads[i];
		struct ld_server *s =
		    ld_servers_find_hash(r->servers, l->server);

		if (s == NULL)
			continue;
		/* A server that was forgotten meanwhile starts at none. */
		if (add) {
			note_peer_heard(s, l, p->heard_ms);
			s->peer_active += l->active;
		} else {
			s->peer_active -= l->active < s->peer_active
			    ? l->active
			    : s->peer_active;
		}
	}
}

/* The place of the count of a server, made at need. */
static struct total *
total_of(struct peer *p, uint32_t server, bool *is_new)
{
	struct total *t;

	*is_new = false;
	for (size_t i = 0; i < p->total_count; i++)
		if (p->totals[i].server == server)
			return &p->totals[i];
	*is_new = true;
	if (p->total_count < TOTALS_MAX)
		t = &p->totals[p->total_count++];
	else
		t = &p->totals[p->total_next++ % TOTALS_MAX];
	*t = (struct total){.server = server};
	return t;
}

/* Prompts that a peer has sent since its last datagram count as read after
 * those that are known. */
static void
note_prompts(struct relay *r, struct peer *p, const struct mesh_load *l)
{
	struct ld_server *s = ld_servers_find_hash(r->servers, l->server);
	bool is_new;
	struct total *t = total_of(p, l->server, &is_new);
	uint32_t more = l->sent_tokens - t->tokens;

	t->tokens = l->sent_tokens;
	/* The first count that is told may be old; a peer that has started
	 * again counts from zero, which looks like a very large step. */
	if (s == NULL || is_new || more == 0 || more > TOKENS_AT_ONCE_MAX ||
	    r->routes == NULL)
		return;
	ld_dispatch_prompt_sent(
	    ld_routes_service(r->routes, ld_str_c(s->entry.service)), s, more,
	    relay_now(r));
}

static void
forget_loads(struct relay *r, struct peer *p)
{
	count_told(r, p, false);
	p->load_count = 0;
}

static uint64_t
interval_ms(const struct mesh *m)
{
	uint64_t ms = m->peer_count * TELL_PER_NODE_MS;

	return ms > TELL_MS ? ms : TELL_MS;
}

static bool
is_heard(const struct mesh *m, const struct peer *p, uint64_t now)
{
	return p->heard_ms != 0 &&
	    now < p->heard_ms + interval_ms(m) * TOLD_INTERVALS;
}

/* ---- Peers, from their entries in the store ---- */

static struct peer *
find_peer(struct mesh *m, struct ld_str name)
{
	for (size_t i = 0; i < m->peer_count; i++)
		if (ld_str_eq(ld_str_c(m->peers[i].name), name))
			return &m->peers[i];
	return NULL;
}

/* Takes what comes before the next space out of @text. */
static struct ld_str
next_word(struct ld_str *text)
{
	const char *space = memchr(text->p, ' ', text->len);
	struct ld_str word = *text;

	if (space != NULL)
		word.len = (size_t)(space - text->p);
	text->p += word.len + (space != NULL);
	text->len -= word.len + (space != NULL);
	return word;
}

/* "ADDRESS PERMILLE DOMAIN" */
static bool
parse_entry(const struct relay *r, struct ld_str text, struct peer *out)
{
	struct ld_str address = next_word(&text), permille = next_word(&text);
	struct ld_address a;
	char number[8];

	if (permille.len == 0 || ld_address_parse(address, &a) != LD_OK)
		return false;
	snprintf(number, sizeof(number), "%.*s", LD_FMT(permille));
	out->processor_permille = strtoull(number, NULL, 10);
	out->same_domain =
	    ld_str_eq(text, ld_str_c(r->settings->failure_domain));
	out->at = (struct sockaddr_in){.sin_family = AF_INET};
	out->at.sin_port = htons(a.port);
	inet_pton(AF_INET, a.host, &out->at.sin_addr);
	ld_address_fini(&a);
	return true;
}

void
mesh_listed(struct relay *r, struct ld_str name, struct ld_str value)
{
	struct mesh *m = r->mesh;
	struct peer entry;
	char text[LD_EVENT_TOKEN_BYTES];
	struct peer *p = find_peer(m, name);

	if (ld_str_eq(name, ld_str_c(r->settings->name)))
		return;
	if (!parse_entry(r, value, &entry)) {
		ld_event("peer.refused", "peer=%s why=\"no address or share\"",
		    ld_event_token(name, text));
		return;
	}
	if (p == NULL && m->peer_count < PEERS_MAX) {
		m->peers = ld_realloc(
		    m->peers, (m->peer_count + 1) * sizeof(*m->peers));
		p = &m->peers[m->peer_count++];
		memset(p, 0, sizeof(*p));
		snprintf(p->name, sizeof(p->name), "%.*s", LD_FMT(name));
	}
	if (p == NULL)
		return;
	p->at = entry.at;
	p->processor_permille = entry.processor_permille;
	p->same_domain = entry.same_domain;
	p->told = 0;
	p->listed_ms = relay_now(r);
	ld_event("peer.listed",
	    "peer=%s peers=%zu processor_permille=%llu same_domain=%d",
	    ld_event_token(name, text), m->peer_count,
	    (unsigned long long)p->processor_permille, p->same_domain);
}

void
mesh_unlisted(struct relay *r, struct ld_str name)
{
	struct mesh *m = r->mesh;
	struct peer *p = find_peer(m, name);
	char text[LD_EVENT_TOKEN_BYTES];

	if (p == NULL)
		return;
	forget_loads(r, p);
	*p = m->peers[--m->peer_count];
	ld_event("peer.gone", "peer=%s peers=%zu", ld_event_token(name, text),
	    m->peer_count);
}

bool
mesh_has_larger(const struct relay *r)
{
	const struct mesh *m = r->mesh;

	uint64_t now = relay_now(r);

	for (size_t i = 0; i < m->peer_count; i++) {
		const struct peer *p = &m->peers[i];

		if (p->processor_permille > r->settings->processor_permille &&
		    (is_heard(m, p, now) ||
			now < p->listed_ms + FIRST_HEARD_MS))
			return true;
	}
	return false;
}

/* ---- The peer whose watch is followed ---- */

bool
mesh_find_delegate(const struct relay *r, struct mesh_delegate *out)
{
	const struct mesh *m = r->mesh;
	uint64_t now = relay_now(r);
	struct follow_node *nodes =
	    ld_alloc((m->peer_count + 1) * sizeof(*nodes));
	char host[INET_ADDRSTRLEN];
	const struct peer *p;
	size_t best;

	for (size_t i = 0; i < m->peer_count; i++) {
		p = &m->peers[i];
		nodes[i] = (struct follow_node){p->name, p->processor_permille,
		    p->same_domain && p->can_watch && is_heard(m, p, now)};
	}
	nodes[m->peer_count] = (struct follow_node){r->settings->name,
	    r->settings->processor_permille, feed_can_watch(r)};
	best = follow_choose(nodes, m->peer_count + 1);
	free(nodes);
	if (best >= m->peer_count)
		return false;
	p = &m->peers[best];
	/* The next best follows the same node: it is no delegate either. */
	if (now < p->avoid_until_ms)
		return false;
	inet_ntop(AF_INET, &p->at.sin_addr, host, sizeof(host));
	snprintf(out->name, sizeof(out->name), "%s", p->name);
	snprintf(out->address, sizeof(out->address), "%s:%u", host,
	    ntohs(p->at.sin_port));
	return true;
}

void
mesh_avoid(struct relay *r, const char *name, uint64_t until_ms)
{
	struct peer *p = find_peer(r->mesh, ld_str_c(name));

	if (p != NULL)
		p->avoid_until_ms = until_ms;
}

size_t
mesh_nodes(const struct relay *r)
{
	return r->mesh->peer_count + 1;
}

/* ---- The own entry ---- */

static void
entry_failed(struct mesh *m)
{
	m->state = ENTRY_NONE;
	m->next_ms = relay_now(m->relay) + TRY_AGAIN_MS;
}

static void
on_renewed(struct ld_store_call *c, const struct ld_store_answer *a)
{
	struct mesh *m = (struct mesh *)c;

	if (a->status == LD_E_NOT_FOUND)
		entry_failed(m);
}

static void
on_written(struct ld_store_call *c, const struct ld_store_answer *a)
{
	struct mesh *m = (struct mesh *)c;

	if (a->outcome != LD_STORE_APPLIED) {
		entry_failed(m);
		return;
	}
	m->state = ENTRY_LISTED;
	m->next_ms = relay_now(m->relay) + RENEW_MS;
}

static void
on_granted(struct ld_store_call *c, const struct ld_store_answer *a)
{
	struct mesh *m = (struct mesh *)c;
	struct relay *r = m->relay;
	char key[160], value[160];

	if (a->status != LD_OK) {
		entry_failed(m);
		return;
	}
	m->lease = a->lease;
	m->state = ENTRY_WRITING;
	m->call.done = on_written;
	snprintf(
	    key, sizeof(key), "%s%s", RELAY_NODES_PREFIX, r->settings->name);
	snprintf(value, sizeof(value), "%s:%llu %llu %s",
	    r->settings->entry_listen.host,
	    (unsigned long long)r->settings->peers_port,
	    (unsigned long long)r->settings->processor_permille,
	    r->settings->failure_domain);
	ld_store_put(
	    r->store, &m->call, ld_str_c(key), ld_str_c(value), m->lease);
}

static void
entry_tick(struct mesh *m, uint64_t now)
{
	struct relay *r = m->relay;

	if (now < m->next_ms || m->call.request != NULL || r->stopping)
		return;
	if (m->state == ENTRY_NONE) {
		m->state = ENTRY_GRANTING;
		m->call.done = on_granted;
		ld_store_lease_grant(r->store, &m->call, ENTRY_TTL_S);
	} else if (m->state == ENTRY_LISTED) {
		m->next_ms = now + RENEW_MS;
		m->call.done = on_renewed;
		ld_store_lease_keepalive(r->store, &m->call, m->lease);
	}
}

/* ---- Telling ---- */

static uint32_t
heard_ago_ms(const struct ld_server *s, uint64_t now)
{
	uint64_t ago = now > s->heard_ms ? now - s->heard_ms : 0;

	return ago < MESH_AGO_MAX_MS ? (uint32_t)ago : MESH_AGO_MAX_MS;
}

static void
fill_loads(struct relay *r, struct mesh_datagram *d)
{
	uint64_t now = relay_now(r);

	for (struct ld_server *s = ld_servers_first(r->servers);
	     s != NULL && d->load_count < MESH_LOADS_MAX; s = s->next)
		if (s->active > 0)
			d->loads[d->load_count++] =
			    (struct mesh_load){s->id_hash, s->active,
				(uint32_t)s->sent_tokens, heard_ago_ms(s, now)};
}

static void
tell(struct mesh *m)
{
	struct mesh_datagram d = {
	    .number = ++m->number,
	    .can_watch = feed_can_watch(m->relay),
	};
	struct ld_buf bytes = {0};

	fill_loads(m->relay, &d);
	memcpy(d.alarms, m->alarms, m->alarm_count * sizeof(d.alarms[0]));
	d.alarm_count = m->alarm_count;
	mesh_write(&d, &bytes);
	/* A datagram that doesn't leave is as good as lost on the way. */
	for (size_t i = 0; i < m->peer_count; i++)
		if (sendto(m->fd, bytes.p, bytes.len, MSG_DONTWAIT,
			(struct sockaddr *)&m->peers[i].at,
			sizeof(m->peers[i].at)) < 0)
			relay_count(m->relay, LD_M_RELAY_MESH_UNSENT);
	ld_buf_free(&bytes);
}

static void
forget_alarms(struct mesh *m, uint64_t now)
{
	size_t n = 0;

	for (size_t i = 0; i < m->alarm_count; i++) {
		if (now >= m->alarmed_ms[i] + ALARM_TOLD_MS)
			continue;
		m->alarms[n] = m->alarms[i];
		m->alarmed_ms[n++] = m->alarmed_ms[i];
	}
	m->alarm_count = n;
}

void
mesh_alarm(struct relay *r, const char *group, int64_t epoch)
{
	struct mesh *m = r->mesh;
	struct mesh_alarm *a;

	for (size_t i = 0; i < m->alarm_count; i++)
		if (m->alarms[i].epoch == epoch &&
		    strcmp(m->alarms[i].group, group) == 0)
			return;
	if (m->alarm_count == MESH_ALARMS_MAX)
		return;
	m->alarmed_ms[m->alarm_count] = relay_now(r);
	a = &m->alarms[m->alarm_count++];
	snprintf(a->group, sizeof(a->group), "%s", group);
	a->epoch = epoch;
	m->next_tell_ms = 0;
}

/* ---- Hearing ---- */

static struct peer *
peer_at(struct mesh *m, const struct sockaddr_in *from)
{
	for (size_t i = 0; i < m->peer_count; i++)
		if (m->peers[i].at.sin_port == from->sin_port &&
		    m->peers[i].at.sin_addr.s_addr == from->sin_addr.s_addr)
			return &m->peers[i];
	return NULL;
}

static void
take_datagram(struct mesh *m, struct peer *p, const struct mesh_datagram *d)
{
	uint64_t now = relay_now(m->relay);

	/* Overtaken on the way. After a restart the numbers begin anew, and
	 * the peer was silent for a while. */
	if (d->number <= p->told && is_heard(m, p, now))
		return;
	p->told = d->number;
	p->can_watch = d->can_watch;
	p->heard_ms = now;
	forget_loads(m->relay, p);
	memcpy(p->loads, d->loads, d->load_count * sizeof(p->loads[0]));
	p->load_count = d->load_count;
	count_told(m->relay, p, true);
	for (size_t i = 0; i < d->load_count; i++)
		note_prompts(m->relay, p, &d->loads[i]);
	for (size_t i = 0; i < d->alarm_count; i++) {
		struct ld_str group = ld_str_c(d->alarms[i].group);

		requests_alarm(m->relay, group, d->alarms[i].epoch);
		control_alarm(m->relay, group, d->alarms[i].epoch);
	}
}

static void
hear(
    struct mesh *m, const char *bytes, size_t n, const struct sockaddr_in *from)
{
	struct peer *p = peer_at(m, from);
	struct mesh_datagram d;

	/* Of a node that isn't listed, or not yet. */
	if (p == NULL || !mesh_read((struct ld_str){bytes, n}, &d)) {
		relay_count(m->relay, LD_M_RELAY_MESH_REFUSED);
		return;
	}
	take_datagram(m, p, &d);
}

static void
on_io(struct ev_loop *ev, ev_io *io, int revents)
{
	struct mesh *m = io->data;
	char bytes[DATAGRAM_BYTES];
	struct sockaddr_in from = {0};
	socklen_t len = sizeof(from);
	ssize_t n;

	for (int i = 0; i < DATAGRAMS_PER_TURN; i++) {
		n = recvfrom(m->fd, bytes, sizeof(bytes), MSG_DONTWAIT,
		    (struct sockaddr *)&from, &len);
		if (n < 0)
			break;
		hear(m, bytes, (size_t)n, &from);
	}
}

static void
forget_silent(struct mesh *m, uint64_t now)
{
	for (size_t i = 0; i < m->peer_count; i++)
		if (!is_heard(m, &m->peers[i], now))
			forget_loads(m->relay, &m->peers[i]);
}

void
mesh_tick(struct relay *r)
{
	struct mesh *m = r->mesh;
	uint64_t now = relay_now(r);

	entry_tick(m, now);
	if (now < m->next_tell_ms)
		return;
	m->next_tell_ms = now + interval_ms(m);
	forget_silent(m, now);
	forget_alarms(m, now);
	tell(m);
}

/* ---- Start and end ---- */

enum ld_status
mesh_open(struct relay *r)
{
	struct mesh *m = ld_alloc(sizeof(*m));
	struct sockaddr_in at = {.sin_family = AF_INET};

	m->relay = r;
	r->mesh = m;
	m->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	at.sin_port = htons((uint16_t)r->settings->peers_port);
	inet_pton(AF_INET, r->settings->entry_listen.host, &at.sin_addr);
	if (m->fd < 0 || bind(m->fd, (struct sockaddr *)&at, sizeof(at)) != 0)
		return ld_fail(LD_E_IO, "port %llu of the peers: %s",
		    (unsigned long long)r->settings->peers_port,
		    strerror(errno));
	ev_io_init(&m->io, on_io, m->fd, EV_READ);
	m->io.data = m;
	ev_io_start(ld_loop_ev(r->loop), &m->io);
	return LD_OK;
}

void
mesh_close(struct relay *r)
{
	struct mesh *m = r->mesh;

	if (m == NULL)
		return;
	ev_io_stop(ld_loop_ev(r->loop), &m->io);
	ld_store_cancel(&m->call);
	if (m->fd >= 0)
		close(m->fd);
	free(m->peers);
	free(m);
}
