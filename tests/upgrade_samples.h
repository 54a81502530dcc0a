/* Samples of what nodes send and write, and a relay that reads them, for the tests
 * of builds side by side. */
#ifndef UPGRADE_SAMPLES_H
#define UPGRADE_SAMPLES_H

#include <string.h>

#include "../lib/relay/changes_codec.h"
#include "../lib/relay/leader_records.h"
#include "../lib/relay/mesh_codec.h"
#include "../lib/relay/mesh_internal.h"
#include "ld_platform.h"
#include "ld_test.h"

#define NODE "n2"
#define GROUP "m0/5"
#define PART 0x656b4d0c54ba635eULL
#define FRAME_AGE_MS 40

/* ---- A relay without sockets ---- */

static char model_name[] = "m0";
static struct ld_model_spec model = {.name = model_name};
static struct ld_service_spec service = {
    .name = "desk", .engine = {.models = &model, .model_count = 1}};
static struct ld_routes routes = {.services = &service, .service_count = 1};
static struct ld_relay_settings settings = {.name = "n1",
    .failure_domain = "z1",
    .entry_listen = {.host = "127.98.244.19"},
    .peers_port = 7340,
    .processor_permille = 1000};
static struct mesh mesh;
static struct relay relay;

static inline void
open_relay(void)
{
	relay = (struct relay){.settings = &settings,
	    .dialect = ld_platform_dialect(),
	    .loop = ld_loop_new(),
	    .metrics = ld_metrics_new(),
	    .servers = ld_servers_new(),
	    .routes = &routes,
	    .mesh = &mesh};
	mesh = (struct mesh){
	    .aggregation = {.name = settings.name,
		.domain = agg_domain(ld_str_c(settings.failure_domain)),
		.servers = relay.servers},
	    .relay = &relay,
	    .fd = -1};
	group_records_open(&relay);
	crashing_requests_open(&relay);
}

static inline void
close_relay(void)
{
	group_records_close(&relay);
	crashing_requests_close(&relay);
	agg_free(&mesh.aggregation);
	ld_servers_free(relay.servers);
	ld_metrics_free(relay.metrics);
	ld_loop_free(relay.loop);
}

/* ---- What is sent ---- */

static inline struct mesh_datagram
sample_report(void)
{
	struct mesh_datagram d = {
	    .number = 70000, .kind = MESH_REPORT, .can_delegate = true};

	d.load_count = 2;
	d.loads[0] = (struct mesh_load){
	    .server = 0xfedcba98, .active = 3, .heard_ago_ms = 25};
	d.loads[0].counts[LD_COUNT_TOKENS] = 4711;
	d.loads[1] = (struct mesh_load){.server = 17,
	    .active = UINT16_MAX,
	    .heard_ago_ms = MESH_HEARD_AGO_MAX_MS};
	d.alarm_count = 1;
	d.alarms[0] = (struct mesh_alarm){.group = GROUP, .epoch = 65536007};
	return d;
}

static inline struct mesh_datagram
sample_total_with_rates(void)
{
	struct mesh_datagram d = {
	    .number = UINT64_MAX, .kind = MESH_TOTAL, .covered = 195};

	d.load_count = 1;
	d.loads[0] = (struct mesh_load){.server = 4000000000,
	    .active = 1,
	    .heard_ago_ms = 200,
	    .counts = {1, 2, 3},
	    .has_rate = true,
	    .rate_milli = LD_RATE_UNLIMITED,
	    .rate_ago_ms = 70000};
	return d;
}

static inline struct mesh_datagram
sample_findings(void)
{
	struct mesh_datagram d = {.number = 1, .kind = MESH_PARTIAL};

	d.finding_count = 2;
	d.findings[0] =
	    (struct ld_finding){LD_FINDING_CRASH_BEGUN, PART, 9, 10};
	d.findings[1] = (struct ld_finding){LD_FINDING_QUARANTINED, PART, 0, 0};
	return d;
}

static inline struct mesh_datagram
sample_probe(void)
{
	return (struct mesh_datagram){.number = 5, .kind = MESH_PROBE};
}

static inline void
encode_changes(struct ld_buf *out)
{
	struct ld_store_event written = {.kv = {.key = LD_STR("servers/a"),
					     .value = LD_STR("{\"x\":1}"),
					     .mod_revision = 1LL << 40,
					     .create_revision = 12,
					     .version = 3,
					     .lease = 7}};
	struct ld_store_event deleted = {
	    .kv = {.key = LD_STR("servers/b"), .mod_revision = 1LL << 40},
	    .deleted = true};

	changes_encode_header(10, 1LL << 40, FRAME_AGE_MS, 2, out);
	changes_encode_change(&written, out);
	changes_encode_change(&deleted, out);
}

/* ---- What is read ---- */

static inline void
check_same_datagram(
    const struct mesh_datagram *a, const struct mesh_datagram *b)
{
	CU_ASSERT_EQUAL(a->number, b->number);
	CU_ASSERT_EQUAL(a->kind, b->kind);
	CU_ASSERT_EQUAL(a->can_delegate, b->can_delegate);
	CU_ASSERT_EQUAL(a->covered, b->covered);
	CU_ASSERT_EQUAL_FATAL(a->load_count, b->load_count);
	for (size_t i = 0; i < a->load_count; i++) {
		const struct mesh_load *x = &a->loads[i], *y = &b->loads[i];

		CU_ASSERT_EQUAL(x->server, y->server);
		CU_ASSERT_EQUAL(x->active, y->active);
		CU_ASSERT_EQUAL(x->heard_ago_ms, y->heard_ago_ms);
		CU_ASSERT_EQUAL(
		    memcmp(x->counts, y->counts, sizeof(x->counts)), 0);
		CU_ASSERT_EQUAL(x->has_rate, y->has_rate);
		CU_ASSERT_EQUAL(x->rate_milli, y->rate_milli);
		CU_ASSERT_EQUAL(x->rate_ago_ms, y->rate_ago_ms);
	}
	CU_ASSERT_EQUAL_FATAL(a->alarm_count, b->alarm_count);
	for (size_t i = 0; i < a->alarm_count; i++) {
		CU_ASSERT_STRING_EQUAL(a->alarms[i].group, b->alarms[i].group);
		CU_ASSERT_EQUAL(a->alarms[i].epoch, b->alarms[i].epoch);
	}
	CU_ASSERT_EQUAL_FATAL(a->finding_count, b->finding_count);
	for (size_t i = 0; i < a->finding_count; i++) {
		CU_ASSERT_EQUAL(a->findings[i].kind, b->findings[i].kind);
		CU_ASSERT_EQUAL(a->findings[i].part, b->findings[i].part);
		CU_ASSERT_EQUAL(a->findings[i].server, b->findings[i].server);
		CU_ASSERT_EQUAL(a->findings[i].request, b->findings[i].request);
	}
}

static inline void
check_changes(const struct changes_message *m)
{
	const struct ld_store_event *e = m->list.events;

	CU_ASSERT_EQUAL(m->after, 10);
	CU_ASSERT_EQUAL(m->revision, 1LL << 40);
	CU_ASSERT_EQUAL(m->age_ms, FRAME_AGE_MS);
	CU_ASSERT_EQUAL_FATAL(m->list.n, 2);
	CU_ASSERT(ld_str_eq(e[0].kv.key, LD_STR("servers/a")));
	CU_ASSERT(ld_str_eq(e[0].kv.value, LD_STR("{\"x\":1}")));
	CU_ASSERT(!e[0].deleted);
	CU_ASSERT_EQUAL(e[0].kv.mod_revision, 1LL << 40);
	CU_ASSERT_EQUAL(e[0].kv.create_revision, 12);
	CU_ASSERT_EQUAL(e[0].kv.version, 3);
	CU_ASSERT_EQUAL(e[0].kv.lease, 7);
	CU_ASSERT(ld_str_eq(e[1].kv.key, LD_STR("servers/b")));
	CU_ASSERT(e[1].deleted);
}

static inline void
apply_record(struct leader_records *rs, const char *name, const char *value)
{
	struct ld_store_kv kv = {.value = ld_str_c(value), .mod_revision = 4};

	leader_records_apply(rs, ld_str_c(name), &kv);
}

static inline void
check_member(const char *id, const char *address, uint32_t rank)
{
	const struct ld_server *s =
	    ld_servers_find(relay.servers, ld_str_c(id));

	CU_ASSERT_PTR_NOT_NULL(s);
	if (s == NULL)
		return;
	CU_ASSERT_STRING_EQUAL(s->entry.address, address);
	CU_ASSERT_STRING_EQUAL(s->entry.service, "desk");
	CU_ASSERT_STRING_EQUAL(s->entry.member.group, GROUP);
	CU_ASSERT_STRING_EQUAL(s->entry.member.model, "m0");
	CU_ASSERT_EQUAL(s->entry.member.epoch, 65536007);
	CU_ASSERT_EQUAL(s->entry.member.rank, rank);
}

static inline void
check_node(const char *value)
{
	const struct peer *p;

	mesh_peer_put(&relay, LD_STR(NODE), ld_str_c(value));
	p = agg_peer_find(&mesh.aggregation, LD_STR(NODE));
	CU_ASSERT_PTR_NOT_NULL(p);
	if (p == NULL)
		return;
	CU_ASSERT_EQUAL(ntohs(p->address.sin_port), 7340);
	CU_ASSERT_EQUAL(ntohl(p->address.sin_addr.s_addr), 0x7f62f413);
	CU_ASSERT_EQUAL(p->processor_permille, 1000);
	CU_ASSERT_EQUAL(p->domain, mesh.aggregation.domain);
}

#endif
