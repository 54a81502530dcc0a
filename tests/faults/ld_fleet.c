/* Starting and describing the fleet of a session. */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "ld_fleet.h"
#include "ld_test.h"

#define MODEL "llama-70b"
#define SERVICE_TIMEOUT_MS 3000
#define PREFIX "/lavenderdrift/"

static const char *
port_of(const char *address)
{
	return strchr(address, ':') + 1;
}

static const char *
host_of(const char *address, char out[32])
{
	snprintf(out, 32, "%.*s", (int)strcspn(address, ":"), address);
	return out;
}

/* ---- Stand-ins ---- */

static struct ld_proc *
start_standin(struct ld_fleet *f, const char *name, const char *kind,
    const char *address, const char *const *more)
{
	char host[32];
	const char *argv[24] = {kind, "--address", host_of(address, host),
	    "--port", port_of(address)};
	int n = 5;
	struct ld_proc *p;

	while (more != NULL && *more != NULL)
		argv[n++] = *more++;
	p = ld_spawn(&f->s, name, "ld_standin", address, argv);
	ld_session_expect(&f->s, ld_wait_listening(address, LD_WAIT_MS),
	    "a stand-in does not listen");
	return p;
}

static struct ld_proc *
start_plain(struct ld_fleet *f, const char *name, const char *kind)
{
	char address[32];

	ld_address_new(&f->s, address);
	return start_standin(f, name, kind, address, NULL);
}

static void
start_forward(struct ld_fleet *f)
{
	char listen[32], host[32];
	const char *argv[] = {"forward", "--listen", listen, "--to",
	    f->service->address, "--address", host, "--control", NULL, NULL};

	ld_address_new(&f->s, listen);
	ld_address_new(&f->s, f->forward_control);
	host_of(f->forward_control, host);
	argv[8] = port_of(f->forward_control);
	f->forward = ld_spawn(&f->s, "forward", "ld_standin", listen, argv);
	ld_session_expect(&f->s,
	    ld_wait_listening(f->forward_control, LD_WAIT_MS),
	    "the forwarder does not listen");
}

static void
start_replica(struct ld_fleet *f, int r)
{
	char addresses[LD_FLEET_ENGINES_MAX][32];
	char name[32], preload[512], token_ms[16], slots[16];
	const char *more[] = {"--preload", preload, "--token-ms", token_ms,
	    "--slots", slots, "--fabric", "f1", "--zone", "z1", NULL};
	int n = snprintf(preload, sizeof(preload), "f1-r%d:1:", r + 1);

	snprintf(token_ms, sizeof(token_ms), "%d", f->o.token_ms);
	snprintf(slots, sizeof(slots), "%d", f->o.slots);
	for (int m = 0; m < f->o.members; m++) {
		ld_address_new(&f->s, addresses[m]);
		n += snprintf(preload + n, sizeof(preload) - (size_t)n, "%s%s",
		    m > 0 ? "," : "", addresses[m]);
	}
	for (int m = 0; m < f->o.members; m++) {
		snprintf(name, sizeof(name), "engine-%d-%d", r + 1, m + 1);
		f->engines[r * f->o.members + m] =
		    start_standin(f, name, "engine", addresses[m], more);
	}
}

struct ld_proc *
ld_fleet_engine(struct ld_fleet *f, int r, int m)
{
	return f->engines[r * f->o.members + m];
}

/* ---- Documents ---- */

static json_t *
b64(const char *text)
{
	size_t max = sodium_base64_encoded_len(
	    strlen(text), sodium_base64_VARIANT_ORIGINAL);
	char *out = ld_alloc(max);
	json_t *j;

	sodium_bin2base64(out, max, (const unsigned char *)text, strlen(text),
	    sodium_base64_VARIANT_ORIGINAL);
	j = json_string(out);
	free(out);
	return j;
}

void
ld_store_write(struct ld_fleet *f, const char *key, const char *value)
{
	struct ld_reply r;
	char full[128];
	json_t *j;
	char *body;

	snprintf(full, sizeof(full), PREFIX "%s", key);
	j = json_pack("{s:[{s:{s:o,s:o}}]}", "success", "requestPut", "key",
	    b64(full), "value", b64(value));
	body = json_dumps(j, 0);
	json_decref(j);
	ld_call(&f->s,
	    &(struct ld_call){.address = f->store->address,
		.path = "/v3/kv/txn",
		.body = body},
	    &r);
	ld_session_expect(&f->s, r.code == 200, "the store was not written");
	ld_reply_free(&r);
	free(body);
}

static void
write_placement(struct ld_fleet *f)
{
	json_t *replicas = json_array();
	json_t *record;
	char *text;

	for (int r = 0; r < f->o.replicas; r++) {
		json_t *members = json_array();
		char id[16];

		for (int m = 0; m < f->o.members; m++)
			json_array_append_new(members,
			    json_string(ld_fleet_engine(f, r, m)->address));
		snprintf(id, sizeof(id), "f1-r%d", r + 1);
		json_array_append_new(replicas,
		    json_pack("{s:s,s:s,s:i,s:s,s:o}", "id", id, "model", MODEL,
			"epoch", 1, "state", "serving", "members", members));
	}
	record = json_pack("{s:s,s:o}", "fabric", "f1", "replicas", replicas);
	text = json_dumps(record, 0);
	json_decref(record);
	ld_store_write(f, "placement/f1", text);
	free(text);
}

void
ld_fleet_catalogue(unsigned int shop_requests_per_s, struct ld_buf *out)
{
	char shop[LD_SHA256_HEX_LEN + 1], quay[LD_SHA256_HEX_LEN + 1];

	ld_sha256_hex(LD_STR(LD_FLEET_SHOP_KEY), shop);
	ld_sha256_hex(LD_STR(LD_FLEET_QUAY_KEY), quay);
	ld_buf_printf(out,
	    "{\"entries\":[{\"owner\":\"shop-aalto\",\"class\":\"paid\","
	    "\"keys\":[\"%s\"],\"limits\":{\"requests_per_s\":%u,"
	    "\"tokens_per_s\":100000,\"concurrent\":1000},"
	    "\"promised\":{\"concurrent\":4}},",
	    shop, shop_requests_per_s);
	ld_buf_printf(out,
	    "{\"owner\":\"quay-7\",\"class\":\"late\",\"keys\":[\"%s\"],"
	    "\"limits\":{\"requests_per_s\":1000,\"tokens_per_s\":100000,"
	    "\"concurrent\":1000}}]}",
	    quay);
	ld_buf_cstr(out);
}

static bool
contains(const char *const *list, const char *address)
{
	for (; list != NULL && *list != NULL; list++)
		if (strcmp(*list, address) == 0)
			return true;
	return false;
}

static void
add_instance(json_t *all, const char *address, const char *role,
    const char *const *leaving, const char *const *gone)
{
	if (contains(gone, address))
		return;
	json_array_append_new(all,
	    json_pack("{s:s,s:s,s:s,s:s,s:s}", "address", address, "role", role,
		"fabric", strcmp(role, "engine") == 0 ? "f1" : "", "zone", "z1",
		"state", contains(leaving, address) ? "leaving" : "live"));
}

void
ld_fleet_set_list(
    struct ld_fleet *f, const char *const *leaving, const char *const *gone)
{
	json_t *all = json_array();
	json_t *doc;
	struct ld_reply r;
	char *body;

	for (int i = 0; i < f->o.replicas * f->o.members; i++)
		add_instance(
		    all, f->engines[i]->address, "engine", leaving, gone);
	add_instance(all,
	    f->forward != NULL ? f->forward->address : f->service->address,
	    "service", leaving, gone);
	for (int i = 0; i < f->o.nodes; i++)
		if (f->nodes[i] != NULL)
			add_instance(
			    all, f->nodes[i]->address, "entry", leaving, gone);
	doc = json_pack("{s:o}", "instances", all);
	body = json_dumps(doc, 0);
	json_decref(doc);
	ld_call(&f->s,
	    &(struct ld_call){
		.address = f->list->address, .path = "/set", .body = body},
	    &r);
	ld_session_expect(&f->s, r.code == 200, "the list was not set");
	ld_reply_free(&r);
	free(body);
}

/* ---- Nodes ---- */

static json_t *
node_settings(struct ld_fleet *f, int i, const char *address)
{
	json_t *seeds = json_array();
	char zone[8];

	for (int k = 0; k < f->o.nodes; k++)
		if (k != i)
			json_array_append_new(seeds, json_string(f->peers[k]));
	snprintf(zone, sizeof(zone), "z%d", i + 1);
	return json_pack("{s:{s:s},s:{s:s,s:i},s:{s:s,s:s},s:{s:s,s:s,s:o},"
			 "s:{s:[s]},s:{s:s},s:{s:b},s:{s:[s]},"
			 "s:{s:i},s:[{s:s,s:[s],s:[{s:s,s:s}]}]}",
	    "node", "failure_domain", zone, "entry", "listen", address,
	    "drain_notice_ms", 300, "operator", "listen", f->operators[i],
	    "token", LD_FLEET_TOKEN, "peers", "listen", f->peers[i], "key",
	    "peer-key-of-the-session", "seeds", seeds, "store", "endpoints",
	    f->store->address, "live_list", "address", f->list->address,
	    "control", "enabled", false, "deployment", "fabrics", "f1",
	    "service", "timeout_ms", SERVICE_TIMEOUT_MS, "services", "name",
	    "stock", "servers",
	    f->forward != NULL ? f->forward->address : f->service->address,
	    "not_idempotent", "method", "POST", "path", "/transfers");
}

void
ld_fleet_start_node(struct ld_fleet *f, int i)
{
	char name[16], address[32], file[128];
	const char *argv[] = {"serve", "-c", file, NULL};
	json_t *settings;

	snprintf(name, sizeof(name), "node-%d", i + 1);
	snprintf(file, sizeof(file), "%s/%s.json", f->s.dir, name);
	if (f->nodes[i] != NULL) {
		ld_respawn(&f->s, f->nodes[i], LD_RELAY_PROGRAM, argv);
		return;
	}
	ld_address_new(&f->s, address);
	settings = node_settings(f, i, address);
	json_dump_file(settings, file, JSON_INDENT(1));
	json_decref(settings);
	f->nodes[i] = ld_spawn(&f->s, name, LD_RELAY_PROGRAM, address, argv);
}

void
ld_fleet_operate(struct ld_fleet *f, int i, const char *method,
    const char *path, const char *header, const char *body, struct ld_reply *r)
{
	ld_call(&f->s,
	    &(struct ld_call){
		.method = method,
		.address = f->operators[i],
		.path = path,
		.key = LD_FLEET_TOKEN,
		.header = header,
		.body = body,
	    },
	    r);
}

json_t *
ld_fleet_status(struct ld_fleet *f, int i)
{
	struct ld_reply r;
	json_t *j;

	ld_fleet_operate(f, i, NULL, "/status", NULL, NULL, &r);
	j = r.ok ? ld_reply_json(&r) : NULL;
	ld_reply_free(&r);
	return j;
}

struct ready_check {
	struct ld_fleet *f;
	int i;
};

/* Ready, and its capacity includes the slots of every replica. */
static bool
is_ready(void *arg)
{
	struct ready_check *c = arg;
	struct ld_reply r;
	json_t *status;
	json_int_t slots;

	ld_fleet_operate(c->f, c->i, NULL, "/ready", NULL, NULL, &r);
	ld_reply_free(&r);
	if (r.code != 200)
		return false;
	status = ld_fleet_status(c->f, c->i);
	slots = json_integer_value(json_object_get(status, "capacity_slots"));
	json_decref(status);
	return slots >= (json_int_t)c->f->o.slots * c->f->o.replicas;
}

bool
ld_fleet_wait_ready(struct ld_fleet *f, int i)
{
	struct ready_check c = {f, i};

	return ld_wait_until(is_ready, &c, LD_WAIT_MS);
}

long
ld_fleet_lookup(struct ld_fleet *f, int i, const char *key, const char *lot)
{
	struct ld_reply r;
	char path[96];

	snprintf(path, sizeof(path), "/services/stock/status/%s", lot);
	ld_call(&f->s,
	    &(struct ld_call){
		.address = f->nodes[i]->address, .path = path, .key = key},
	    &r);
	ld_reply_free(&r);
	return r.ok ? r.code : 0;
}

static bool
completes(struct ld_fleet *f, int i, const char *key)
{
	struct ld_reply r;

	ld_call(&f->s,
	    &(struct ld_call){
		.address = f->nodes[i]->address,
		.path = "/v1/completions",
		.key = key,
		.body = "{\"model\":\"" MODEL
			"\",\"prompt\":\"warm-up\",\"max_tokens\":1}",
	    },
	    &r);
	ld_reply_free(&r);
	return r.ok && r.code == 200;
}

static bool
is_serving(void *arg)
{
	struct ready_check *c = arg;

	return completes(c->f, c->i, LD_FLEET_SHOP_KEY) &&
	    completes(c->f, c->i, LD_FLEET_QUAY_KEY);
}

bool
ld_fleet_wait_serving(struct ld_fleet *f, int i)
{
	struct ready_check c = {f, i};

	return ld_wait_until(is_serving, &c, LD_WAIT_MS);
}

/* ---- Whole ---- */

static int
or_default(int value, int otherwise)
{
	return value != 0 ? value : otherwise;
}

void
ld_fleet_begin(
    struct ld_fleet *f, const char *name, const struct ld_fleet_options *o)
{
	static const char *const service_name[] = {"--name", "stock", NULL};
	struct ld_buf catalogue = {0};
	char address[32];

	memset(f, 0, sizeof(*f));
	ld_session_begin(&f->s, name);
	f->o = *o;
	f->o.replicas = or_default(o->replicas, 2);
	f->o.members = or_default(o->members, 2);
	f->o.nodes = or_default(o->nodes, 2);
	f->o.token_ms = or_default(o->token_ms, 20);
	f->o.slots = or_default(o->slots, 16);
	f->store = start_plain(f, "store", "store");
	f->list = start_plain(f, "list", "list");
	ld_address_new(&f->s, address);
	f->service =
	    start_standin(f, "service", "service", address, service_name);
	if (o->service_through)
		start_forward(f);
	for (int r = 0; r < f->o.replicas; r++)
		start_replica(f, r);
	ld_fleet_set_list(f, NULL, NULL);
	write_placement(f);
	ld_fleet_catalogue(1000, &catalogue);
	ld_store_write(f, "catalogue", catalogue.p);
	ld_buf_free(&catalogue);
	for (int i = 0; i < f->o.nodes; i++) {
		ld_address_new(&f->s, f->operators[i]);
		ld_address_new(&f->s, f->peers[i]);
	}
	for (int i = 0; i < f->o.nodes; i++)
		ld_fleet_start_node(f, i);
	for (int i = 0; i < f->o.nodes; i++)
		ld_session_expect(&f->s,
		    ld_fleet_wait_ready(f, i) && ld_fleet_wait_serving(f, i),
		    "a node does not become ready and serve");
}

void
ld_fleet_end(struct ld_fleet *f)
{
	ld_session_end(&f->s);
}

unsigned int
ld_ledger_count(struct ld_session *s, const char *address, const char *member,
    const char *value)
{
	json_t *ledger = ld_get_json(s, address, "/ledger");
	json_t *entries = json_object_get(ledger, "runs");
	unsigned int n = 0;
	json_t *e;
	size_t i;

	if (entries == NULL)
		entries = json_object_get(ledger, "calls");
	json_array_foreach(entries, i, e)
	{
		const char *v = json_string_value(json_object_get(e, member));

		n += v != NULL && strcmp(v, value) == 0;
	}
	json_decref(ledger);
	return n;
}
