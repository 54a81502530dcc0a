/* Lookups in one version of the operators' configuration. */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "ld_routes.h"

struct ld_routes *
ld_routes_new(void)
{
	return ld_alloc(sizeof(struct ld_routes));
}

static void
rule_fini(struct ld_route_rule *rule)
{
	for (size_t i = 0; i < rule->share_count; i++)
		free(rule->shares[i].service);
	free(rule->shares);
	free(rule->name);
	free(rule->host);
	free(rule->prefix);
}

static void
service_fini(struct ld_service_spec *s)
{
	for (size_t i = 0; i < s->engine.model_count; i++)
		free(s->engine.models[i].name);
	free(s->engine.models);
	free(s->name);
}

void
ld_routes_free(struct ld_routes *r)
{
	if (r == NULL)
		return;
	for (size_t i = 0; i < r->rule_count; i++)
		rule_fini(&r->rules[i]);
	for (size_t i = 0; i < r->service_count; i++)
		service_fini(&r->services[i]);
	for (size_t i = 0; i < r->account_count; i++)
		free(r->accounts[i].name);
	for (size_t i = 0; i < r->key_count; i++)
		free(r->keys[i].key);
	free(r->rules);
	free(r->services);
	free(r->accounts);
	free(r->keys);
	free(r);
}

void
ld_routes_add_key(struct ld_routes *r, struct ld_str key, size_t account)
{
	struct ld_account_key *k;

	r->keys = ld_realloc(r->keys, (r->key_count + 1) * sizeof(*r->keys));
	k = &r->keys[r->key_count++];
	k->hash = ld_hash64(key, 0);
	k->key = ld_str_dup(key);
	k->account = account;
}

static int
compare_key_hashes(const void *a, const void *b)
{
	const struct ld_account_key *x = a, *y = b;

	return x->hash < y->hash ? -1 : x->hash > y->hash;
}

void
ld_routes_seal(struct ld_routes *r)
{
	if (r->key_count > 1)
		qsort(r->keys, r->key_count, sizeof(*r->keys),
		    compare_key_hashes);
}

static bool
host_matches(const struct ld_route_rule *rule, struct ld_str host)
{
	return strlen(rule->host) == host.len &&
	    strncasecmp(rule->host, host.p, host.len) == 0;
}

const struct ld_route_rule *
ld_routes_match(
    const struct ld_routes *r, struct ld_str host, struct ld_str path)
{
	const struct ld_route_rule *best = NULL;
	size_t best_len = 0;

	for (size_t i = 0; i < r->rule_count; i++) {
		const struct ld_route_rule *rule = &r->rules[i];
		size_t len = strlen(rule->prefix);

		if (len < best_len || len > path.len ||
		    memcmp(rule->prefix, path.p, len) != 0 ||
		    !host_matches(rule, host))
			continue;
		best = rule;
		best_len = len;
	}
	return best;
}

static size_t
first_with_hash(const struct ld_routes *r, uint64_t hash)
{
	size_t low = 0, high = r->key_count;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (r->keys[mid].hash < hash)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

const struct ld_account *
ld_routes_account(const struct ld_routes *r, struct ld_str key)
{
	uint64_t hash = ld_hash64(key, 0);

	for (size_t i = first_with_hash(r, hash);
	     i < r->key_count && r->keys[i].hash == hash; i++) {
		const struct ld_account_key *k = &r->keys[i];

		if (strlen(k->key) == key.len &&
		    ld_equal_ct(k->key, key.p, key.len))
			return &r->accounts[k->account];
	}
	return NULL;
}

const struct ld_service_spec *
ld_routes_service(const struct ld_routes *r, struct ld_str name)
{
	for (size_t i = 0; i < r->service_count; i++)
		if (ld_str_eq(ld_str_c(r->services[i].name), name))
			return &r->services[i];
	return NULL;
}

struct ld_str
ld_route_rule_share(const struct ld_route_rule *rule, uint64_t hash)
{
	uint64_t total = 0, offset;

	for (size_t i = 0; i < rule->share_count; i++)
		total += rule->shares[i].weight;
	if (total == 0)
		return ld_str_c(NULL);
	offset = hash % total;
	for (size_t i = 0; i < rule->share_count; i++) {
		if (offset < rule->shares[i].weight)
			return ld_str_c(rule->shares[i].service);
		offset -= rule->shares[i].weight;
	}
	return ld_str_c(NULL);
}

const struct ld_model_spec *
ld_engine_model(const struct ld_engine_spec *e, struct ld_str name)
{
	for (size_t i = 0; i < e->model_count; i++)
		if (ld_str_eq(ld_str_c(e->models[i].name), name))
			return &e->models[i];
	return NULL;
}
