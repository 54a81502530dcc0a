/* Parses and writes the placement record of a fabric domain. */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "check_internal.h"

#define PORT_MAX 65535

static const char *const state_names[LD_REPLICA_STATE_COUNT] = {
    [LD_REPLICA_FORMING] = "forming",
    [LD_REPLICA_SERVING] = "serving",
    [LD_REPLICA_DRAINING] = "draining",
};

static const char *const record_members[] = {"fabric", "replicas", NULL};
static const char *const replica_members[] = {
    "id", "model", "epoch", "state", "members", NULL};

const char *
ld_replica_state_name(enum ld_replica_state s)
{
	if ((unsigned int)s >= LD_REPLICA_STATE_COUNT)
		return "unnamed";
	return state_names[s];
}

static bool
is_port(const char *s)
{
	size_t n = strspn(s, "0123456789");

	if (n == 0 || n > 5 || s[n] != '\0')
		return false;
	n = strtoul(s, NULL, 10);
	return n > 0 && n <= PORT_MAX;
}

static bool
is_address(const char *s)
{
	const char *colon = strrchr(s, ':');
	struct in6_addr a6;
	struct in_addr a4;
	char *ip;
	bool ok;

	if (colon == NULL || !is_port(colon + 1))
		return false;
	if (s[0] == '[' && colon - s >= 2 && colon[-1] == ']') {
		ip =
		    ld_str_dup((struct ld_str){s + 1, (size_t)(colon - s) - 2});
		ok = inet_pton(AF_INET6, ip, &a6) == 1;
	} else {
		ip = ld_str_dup((struct ld_str){s, (size_t)(colon - s)});
		ok = inet_pton(AF_INET, ip, &a4) == 1;
	}
	free(ip);
	return ok;
}

static void
parse_members(struct check *c, const struct path *base, const json_t *obj,
    struct ld_placed_replica *r)
{
	struct path list = path_member(base, "members");
	const json_t *v =
	    check_array(c, base, obj, "members", 1, LD_REPLICA_MAX_MEMBERS);
	size_t n = json_array_size(v);

	r->members = ld_alloc(n * sizeof(*r->members));
	for (size_t i = 0; i < n; i++) {
		struct path p = path_index(&list, i);
		const json_t *m = json_array_get(v, i);
		const char *text = check_text(c, &p, m, LD_NAME_MAX_BYTES);

		if (text == NULL)
			continue;
		if (!is_address(text))
			check_fault(c, LD_FAULT_VALUE, &p, m,
			    "IP:PORT, an IPv6 address in brackets");
		r->members[r->n_members] = ld_strdup(text);
		r->n_members++;
	}
}

static void
parse_replica(struct check *c, const struct path *path, const json_t *v,
    struct ld_placed_replica *r)
{
	struct path epoch = path_member(path, "epoch");
	const char *text;
	int state;

	if (!check_object(c, path, v, replica_members))
		return;
	text = check_string(c, path, v, "id", LD_NAME_MAX_BYTES);
	if (text != NULL)
		r->id = ld_strdup(text);
	text = check_string(c, path, v, "model", LD_NAME_MAX_BYTES);
	if (text != NULL)
		r->model = ld_strdup(text);
	r->epoch =
	    check_integer(c, &epoch, json_object_get(v, "epoch"), 0, INT64_MAX);
	state = check_one_of(
	    c, path, v, "state", state_names, LD_REPLICA_STATE_COUNT);
	if (state >= 0)
		r->state = (enum ld_replica_state)state;
	parse_members(c, path, v, r);
}

static void
check_ids(struct check *c, const struct ld_placement *p)
{
	struct unique_item *items = ld_alloc(p->n_replicas * sizeof(*items));
	struct path list = {"replicas"};
	size_t n = 0;

	for (size_t i = 0; i < p->n_replicas; i++) {
		struct path path = path_index(&list, i);

		if (p->replicas[i].id == NULL)
			continue;
		items[n].value = ld_str_c(p->replicas[i].id);
		items[n].path = path_member(&path, "id");
		items[n].order = n;
		n++;
	}
	check_unique(c, items, n, "replica id");
	free(items);
}

static void
check_instances(struct check *c, const struct ld_placement *p)
{
	struct unique_item *items = NULL;
	struct path list = {"replicas"};
	size_t n = 0;

	for (size_t i = 0; i < p->n_replicas; i++) {
		const struct ld_placed_replica *r = &p->replicas[i];
		struct path replica = path_index(&list, i);
		struct path members = path_member(&replica, "members");

		items = ld_realloc(items, (n + r->n_members) * sizeof(*items));
		for (size_t k = 0; k < r->n_members; k++) {
			items[n].value = ld_str_c(r->members[k]);
			items[n].path = path_index(&members, k);
			items[n].order = n;
			n++;
		}
	}
	check_unique(c, items, n, "instance");
	free(items);
}

static void
parse_record(struct check *c, const json_t *doc, struct ld_placement *p)
{
	struct path root = {""};
	struct path list = {"replicas"};
	const json_t *replicas;
	const char *fabric;

	if (!check_object(c, &root, doc, record_members))
		return;
	fabric = check_string(c, &root, doc, "fabric", LD_NAME_MAX_BYTES);
	if (fabric != NULL)
		p->fabric = ld_strdup(fabric);
	replicas = check_array(
	    c, &root, doc, "replicas", 0, LD_PLACEMENT_MAX_REPLICAS);
	if (replicas == NULL)
		return;
	p->n_replicas = json_array_size(replicas);
	p->replicas = ld_alloc(p->n_replicas * sizeof(*p->replicas));
	for (size_t i = 0; i < p->n_replicas; i++) {
		struct path path = path_index(&list, i);

		parse_replica(
		    c, &path, json_array_get(replicas, i), &p->replicas[i]);
	}
	check_ids(c, p);
	check_instances(c, p);
}

enum ld_status
ld_placement_parse(struct ld_str json, int64_t revision,
    struct ld_placement **out, struct ld_faults *faults)
{
	struct check c = {.faults = faults};
	enum ld_status st = LD_OK;
	struct ld_placement *p;
	json_t *doc;

	*out = NULL;
	doc = check_load(&c, json, LD_PLACEMENT_MAX_BYTES);
	if (doc == NULL)
		return ld_fail(json.len > LD_PLACEMENT_MAX_BYTES
			? LD_E_TOO_LARGE
			: LD_E_INVALID,
		    "the placement record is too large or invalid JSON");
	p = ld_alloc(sizeof(*p));
	p->revision = revision;
	parse_record(&c, doc, p);
	if (c.n_faults > 0) {
		st = ld_fail(LD_E_INVALID,
		    "the placement record has %zu faults", c.n_faults);
		goto out;
	}
	*out = p;
	p = NULL;
out:
	ld_placement_free(p);
	json_decref(doc);
	return st;
}

static json_t *
replica_json(const struct ld_placed_replica *r)
{
	json_t *o = json_object();
	json_t *members = json_array();

	json_object_set_new(o, "id", json_string(r->id));
	json_object_set_new(o, "model", json_string(r->model));
	json_object_set_new(o, "epoch", json_integer(r->epoch));
	json_object_set_new(
	    o, "state", json_string(ld_replica_state_name(r->state)));
	for (size_t i = 0; i < r->n_members; i++)
		json_array_append_new(members, json_string(r->members[i]));
	json_object_set_new(o, "members", members);
	return o;
}

void
ld_placement_write(const struct ld_placement *p, struct ld_buf *out)
{
	json_t *doc = json_object();
	json_t *replicas = json_array();
	char *text;

	json_object_set_new(doc, "fabric", json_string(p->fabric));
	for (size_t i = 0; i < p->n_replicas; i++)
		json_array_append_new(replicas, replica_json(&p->replicas[i]));
	json_object_set_new(doc, "replicas", replicas);
	text = json_dumps(doc, JSON_COMPACT);
	ld_buf_adds(out, ld_str_c(text));
	free(text);
	json_decref(doc);
}

void
ld_placement_free(struct ld_placement *p)
{
	if (p == NULL)
		return;
	for (size_t i = 0; i < p->n_replicas; i++) {
		struct ld_placed_replica *r = &p->replicas[i];

		for (size_t k = 0; k < r->n_members; k++)
			free(r->members[k]);
		free(r->members);
		free(r->id);
		free(r->model);
	}
	free(p->replicas);
	free(p->fabric);
	free(p);
}
