/*
 * What the nodes tell each other: their load at each group, and groups whose
 * streams stand still. Datagrams of msgpack, sent to all nodes that have an
 * entry in the store. Losing them costs speed, never safety.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "mesh_internal.h"

/* Between two datagrams to a node, ms: a few of them within the time of a first
 * event; with many nodes as many in all, so that a node's share is bounded. */
#define TELL_MS 30
#define TELL_PER_NODE_MS 2
/* What a node told is used for so long, in times of the interval. */
#define TOLD_INTERVALS 6
/* Above the longest datagram: MESH_LOADS_MAX loads, MESH_ALARMS_MAX alarms. */
#define DATAGRAM_BYTES 2048
#define DATAGRAMS_PER_TURN 256
/* An alarm is told for so long, ms: some datagrams may be lost. */
#define ALARM_TOLD_MS 400

uint64_t
mesh_interval_ms(const struct mesh *m)
{
	uint64_t ms = m->peer_count * TELL_PER_NODE_MS;

	return ms > TELL_MS ? ms : TELL_MS;
}

bool
mesh_is_heard(const struct mesh *m, const struct peer *p, uint64_t now)
{
	return p->heard_ms != 0 &&
	    now < p->heard_ms + mesh_interval_ms(m) * TOLD_INTERVALS;
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
	if (d->number <= p->told && mesh_is_heard(m, p, now))
		return;
	p->told = d->number;
	p->can_watch = d->can_watch;
	p->heard_ms = now;
	mesh_take_loads(m->relay, p, d);
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
		if (!mesh_is_heard(m, &m->peers[i], now))
			mesh_forget_loads(m->relay, &m->peers[i]);
}

void
mesh_tick(struct relay *r)
{
	struct mesh *m = r->mesh;
	uint64_t now = relay_now(r);

	mesh_entry_tick(&m->entry, now);
	if (now < m->next_tell_ms)
		return;
	m->next_tell_ms = now + mesh_interval_ms(m);
	forget_silent(m, now);
	mesh_drop_unlisted(r);
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
	m->entry.relay = r;
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
	ld_store_cancel(&m->entry.call);
	if (m->fd >= 0)
		close(m->fd);
	free(m->peers);
	free(m);
}