/*
 * Datagrams in msgpack among the nodes that have an entry in the store: the
 * load at each group, alarms of silent groups, and findings about prompts that
 * crash servers. The recipients are chosen in load_aggregation.c.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "mesh_internal.h"

/* Above the longest datagram: MESH_LOADS_MAX loads, MESH_ALARMS_MAX alarms. */
#define DATAGRAM_BYTES 2048
#define DATAGRAMS_PER_TURN 256
/* A node of a later version may send one each 30 ms for as long as an upgrade
 * takes: interval of the log lines on those that are refused, ms. */
#define REFUSED_LOG_MS 10000

static struct mesh *
mesh_of(struct load_aggregation *a)
{
	return (struct mesh *)a;
}

/* ---- Sending ---- */

static void
send_to(struct mesh *m, const struct peer *p, struct ld_str bytes)
{
	/* A datagram that can't be sent is treated as lost on the way. */
	if (sendto(m->fd, bytes.p, bytes.len, MSG_DONTWAIT,
		(const struct sockaddr *)&p->address, sizeof(p->address)) < 0) {
		relay_count(m->relay, LD_M_RELAY_MESH_UNSENT);
		return;
	}
	relay_count(m->relay, LD_M_RELAY_DATAGRAMS_OUT);
	ld_metrics_add(m->relay->metrics, LD_M_PEER_BYTES_OUT, bytes.len);
}

static void
send_datagram(struct load_aggregation *a, struct peer *const *to, size_t n,
    const struct mesh_datagram *d)
{
	struct ld_buf bytes = {0};

	mesh_encode(d, &bytes);
	for (size_t i = 0; i < n; i++)
		send_to(mesh_of(a), to[i], ld_buf_str(&bytes));
	ld_buf_free(&bytes);
}

void
mesh_alarm(struct relay *r, const char *group, int64_t epoch)
{
	agg_alarm(&r->mesh->aggregation, group, epoch, relay_now(r));
}

void
mesh_finding(struct relay *r, const struct ld_finding *f)
{
	agg_finding(&r->mesh->aggregation, f, relay_now(r));
}

void
mesh_apply_settings(struct relay *r)
{
	r->mesh->aggregation.name = r->settings->name;
	r->mesh->aggregation.from_nodes = r->settings->follow_from_nodes;
}

void
mesh_tick(struct relay *r)
{
	struct mesh *m = r->mesh;

	mesh_entry_tick(&m->entry, relay_now(r));
	if (relay_now(r) < m->aggregation.next_ms)
		return;
	mesh_drop_unlisted(r);
	m->aggregation.can_delegate = feed_can_delegate(r);
	agg_tick(&m->aggregation, relay_now(r));
}

/* ---- Receiving ---- */

static void
on_prompt_sent(struct load_aggregation *a, struct ld_server *s, uint64_t tokens,
    uint64_t now_ms)
{
	struct relay *r = mesh_of(a)->relay;

	if (r->routes == NULL)
		return;
	ld_dispatch_prompt_sent(
	    ld_routes_service(r->routes, ld_str_c(s->entry.service)), s, tokens,
	    now_ms);
}

static void
on_rate_changed(struct load_aggregation *a, struct ld_server *s)
{
	server_limits_log(mesh_of(a)->relay, s, "peer");
}

static void
on_alarm(struct load_aggregation *a, const struct mesh_alarm *alarm)
{
	struct relay *r = mesh_of(a)->relay;
	struct ld_str group = ld_str_c(alarm->group);

	silent_groups_on_alarm(r, group, alarm->epoch);
	control_alarm(r, group, alarm->epoch);
}

static void
on_finding(struct load_aggregation *a, const struct ld_finding *f)
{
	crashing_requests_receive(mesh_of(a)->relay, f);
}

static struct peer *
find_peer_by_address(struct load_aggregation *a, const struct sockaddr_in *from)
{
	for (size_t i = 0; i < a->peer_count; i++)
		if (a->peers[i].address.sin_port == from->sin_port &&
		    a->peers[i].address.sin_addr.s_addr ==
			from->sin_addr.s_addr)
			return &a->peers[i];
	return NULL;
}

static void
refuse_datagram(struct mesh *m, const struct peer *from, size_t bytes)
{
	uint64_t now = relay_now(m->relay);
	char name[LD_EVENT_TOKEN_BYTES];

	relay_count(m->relay, LD_M_RELAY_MESH_REFUSED);
	m->refused++;
	if (now < m->next_refused_log_ms)
		return;
	ld_event("datagram.refused", "peer=%s bytes=%zu refused=%llu",
	    ld_event_token(ld_str_c(from->name), name), bytes,
	    (unsigned long long)m->refused);
	m->refused = 0;
	m->next_refused_log_ms = now + REFUSED_LOG_MS;
}

static void
receive(
    struct mesh *m, const char *bytes, size_t n, const struct sockaddr_in *from)
{
	struct peer *p = find_peer_by_address(&m->aggregation, from);
	struct mesh_datagram d;

	relay_count(m->relay, LD_M_RELAY_DATAGRAMS_IN);
	ld_metrics_add(m->relay->metrics, LD_M_PEER_BYTES_IN, n);
	/* The sender isn't listed, or not yet. */
	if (p == NULL) {
		relay_count(m->relay, LD_M_RELAY_MESH_REFUSED);
		return;
	}
	if (!mesh_decode((struct ld_str){bytes, n}, &d)) {
		refuse_datagram(m, p, n);
		return;
	}
	agg_receive(&m->aggregation, p, &d, relay_now(m->relay));
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
		receive(m, bytes, (size_t)n, &from);
	}
}

/* ---- Start and end ---- */

enum ld_status
mesh_open(struct relay *r)
{
	static const struct agg_ops ops = {
	    .send = send_datagram,
	    .prompt_sent = on_prompt_sent,
	    .rate_changed = on_rate_changed,
	    .alarm = on_alarm,
	    .finding = on_finding,
	};
	const struct ld_relay_settings *s = r->settings;
	struct mesh *m = ld_alloc(sizeof(*m));
	struct sockaddr_in at = {.sin_family = AF_INET};

	m->aggregation = (struct load_aggregation){
	    .ops = &ops,
	    .domain = agg_domain(ld_str_c(s->failure_domain)),
	    .processor_permille = s->processor_permille,
	    .servers = r->servers,
	};
	m->relay = r;
	m->entry.relay = r;
	r->mesh = m;
	mesh_apply_settings(r);
	m->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	at.sin_port = htons((uint16_t)s->peers_port);
	inet_pton(AF_INET, s->entry_listen.host, &at.sin_addr);
	if (m->fd < 0 || bind(m->fd, (struct sockaddr *)&at, sizeof(at)) != 0)
		return ld_fail(LD_E_IO, "cannot bind peer port %llu: %s",
		    (unsigned long long)s->peers_port, strerror(errno));
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
	agg_free(&m->aggregation);
	free(m);
}
