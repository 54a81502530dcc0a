/* The leader's state of each server, beside its entry: a hash table by id. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "groups_internal.h"

#define HASH_SEED 5

static struct server_info **
bucket_of(struct ld_groups *g, const char *id)
{
	return &g->buckets[ld_hash64(ld_str_c(id), HASH_SEED) %
	    SERVER_INFO_BUCKETS];
}

struct server_info *
server_info_find(struct ld_groups *g, const char *id)
{
	struct server_info *info = *bucket_of(g, id);

	while (info != NULL && strcmp(info->id, id) != 0)
		info = info->next_in_bucket;
	return info;
}

static struct server_info *
server_info_new(struct ld_groups *g, const struct ld_server *s)
{
	struct server_info *info = ld_alloc(sizeof(*info));
	struct server_info **bucket = bucket_of(g, s->entry.id);

	snprintf(info->id, sizeof(info->id), "%s", s->entry.id);
	info->started_ms = s->entry.started_ms;
	info->next = g->infos;
	g->infos = info;
	info->next_in_bucket = *bucket;
	*bucket = info;
	return info;
}

struct server_info *
server_info_get(struct ld_groups *g, const struct ld_server *s)
{
	struct server_info *info = server_info_find(g, s->entry.id);

	if (info == NULL)
		return server_info_new(g, s);
	if (info->started_ms != s->entry.started_ms) {
		struct server_info fresh = {.next = info->next,
		    .next_in_bucket = info->next_in_bucket,
		    .grouped_pass = info->grouped_pass,
		    .started_ms = s->entry.started_ms};

		memcpy(fresh.id, info->id, sizeof(fresh.id));
		*info = fresh;
	}
	return info;
}

void
request_probe(const struct tick *s, struct server_info *info, uint64_t again_ms)
{
	if (info->probe_due || s->now_ms < info->probe_ms + again_ms)
		return;
	info->probe_due = true;
	info->probe_ms = s->now_ms;
}

void
server_info_free_all(struct ld_groups *g)
{
	struct server_info *next;

	for (struct server_info *info = g->infos; info != NULL; info = next) {
		next = info->next;
		free(info);
	}
	g->infos = NULL;
	memset(g->buckets, 0, sizeof(g->buckets));
}
