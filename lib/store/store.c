/*
 * State shared by all calls of a store client: call budget, back-off,
 * endpoints, and the checks that refuse stale responses and those of another
 * cluster.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "store_internal.h"

#define TOKENS_PER_CALL 1000

static const char *const outcome_names[LD_STORE_OUTCOME_COUNT] = {
    [LD_STORE_NOT_APPLIED] = "not-applied",
    [LD_STORE_APPLIED] = "applied",
    [LD_STORE_CONFLICT] = "conflict",
    [LD_STORE_UNKNOWN] = "unknown",
};

static const char *const kind_names[LD_STORE_KIND_COUNT] = {
    [LD_STORE_READ] = "read",
    [LD_STORE_WRITE] = "write",
    [LD_STORE_LEASE] = "lease",
    [LD_STORE_WATCH] = "watch",
};

const char *
ld_store_outcome_name(enum ld_store_outcome o)
{
	if ((unsigned int)o >= LD_STORE_OUTCOME_COUNT)
		return "unnamed";
	return outcome_names[o];
}

const char *
ld_store_kind_name(enum ld_store_kind kind)
{
	if ((unsigned int)kind >= LD_STORE_KIND_COUNT)
		return "unnamed";
	return kind_names[kind];
}

struct ld_store_expect
ld_store_expect_of(const struct ld_store_kv *kv)
{
	struct ld_store_expect e = {0};

	if (kv == NULL)
		return e;
	e.mod_revision = kv->mod_revision;
	e.create_revision = kv->create_revision;
	e.version = kv->version;
	return e;
}

struct ld_store_settings
ld_store_defaults(void)
{
	struct ld_store_settings s = {
	    .prefix = "/lavenderdrift/",
	    .connect_timeout_ms = 500,
	    .call_timeout_ms = 2000,
	    .watch_renew_ms = 30000,
	    .poll_wait_ms = 2000,
	    .poll_timeout_ms = 2000,
	    .poll_pause_ms = 0,
	    .backoff_min_ms = 100,
	    .backoff_max_ms = 5000,
	    .calls_per_s = 20,
	    .calls_burst = 40,
	};

	return s;
}

struct ld_store *
ld_store_new(struct ld_loop *loop, struct ld_http *http,
    const struct ld_store_settings *settings,
    const struct ld_store_codec *codec)
{
	struct ld_store *s = ld_alloc(sizeof(*s));

	assert(settings->n_endpoints > 0 && settings->calls_per_s > 0);
	s->codec = codec != NULL ? codec : ld_store_codec_etcd();
	s->loop = loop;
	s->http = http;
	s->settings = *settings;
	s->endpoints = ld_alloc(settings->n_endpoints * sizeof(*s->endpoints));
	for (size_t i = 0; i < settings->n_endpoints; i++)
		s->endpoints[i] = ld_strdup(settings->endpoints[i]);
	s->settings.endpoints = NULL;
	s->prefix = ld_strdup(settings->prefix);
	s->settings.prefix = s->prefix;
	if (settings->confirm_prefix != NULL)
		s->confirm_prefix = ld_strdup(settings->confirm_prefix);
	s->settings.confirm_prefix = s->confirm_prefix;
	if (settings->seed != 0)
		ld_rand_seed(&s->rand, settings->seed);
	else
		ld_rand_seed_os(&s->rand);
	/* Start at a random endpoint to spread the nodes over all endpoints. */
	s->endpoint = ld_rand_below(&s->rand, settings->n_endpoints);
	s->backoff.min_ms = settings->backoff_min_ms;
	s->backoff.max_ms = settings->backoff_max_ms;
	s->backoff.rand = &s->rand;
	s->poll_retry_max_ms = settings->backoff_max_ms;
	s->tokens = settings->calls_burst * TOKENS_PER_CALL;
	s->tokens_at_ms = ld_loop_now(loop);
	return s;
}

void
ld_store_free(struct ld_store *s)
{
	if (s == NULL)
		return;
	while (s->requests != NULL)
		ld_store_cancel(s->requests->call);
	for (size_t i = 0; i < s->settings.n_endpoints; i++)
		free(s->endpoints[i]);
	free(s->endpoints);
	free(s->prefix);
	free(s->confirm_prefix);
	free(s);
}

void
ld_store_set_poll(struct ld_store *s, const struct ld_store_poll *poll)
{
	s->poll_retry_max_ms = poll->retry_max_ms;
	s->settings.poll_wait_ms = poll->wait_ms;
	s->settings.poll_pause_ms = poll->pause_ms;
	s->settings.page_pause_ms = poll->page_pause_ms;
}

const struct ld_store_counters *
ld_store_counters(const struct ld_store *s)
{
	return &s->counters;
}

int64_t
ld_store_revision(const struct ld_store *s)
{
	return s->revision;
}

bool
ld_store_alarm(const struct ld_store *s)
{
	return s->alarm;
}

static void
refill_budget(struct ld_store *s, uint64_t now)
{
	uint64_t cap = s->settings.calls_burst * TOKENS_PER_CALL;
	uint64_t elapsed = now - s->tokens_at_ms;

	s->tokens_at_ms = now;
	/* N calls a second are N tokens a millisecond. */
	if (elapsed > cap / s->settings.calls_per_s + 1)
		s->tokens = cap;
	else
		s->tokens += elapsed * s->settings.calls_per_s;
	if (s->tokens > cap)
		s->tokens = cap;
}

enum ld_status
store_admit(struct ld_store *s, enum ld_store_kind kind)
{
	uint64_t now = ld_loop_now(s->loop);

	if (now < s->retry_at_ms) {
		s->counters.in_backoff++;
		return ld_fail(
		    LD_E_UNAVAILABLE, "store back-off is in progress");
	}
	refill_budget(s, now);
	if (s->tokens < TOKENS_PER_CALL) {
		s->counters.over_budget++;
		return ld_fail(
		    LD_E_LIMIT, "store call budget of this node is used up");
	}
	s->tokens -= TOKENS_PER_CALL;
	s->counters.calls[kind]++;
	return LD_OK;
}

char *
store_url(const struct ld_store *s, const char *path)
{
	struct ld_buf b = {0};

	ld_buf_printf(&b, "http://%s%s", s->endpoints[s->endpoint], path);
	ld_buf_cstr(&b);
	return b.p;
}

void
store_record_success(struct ld_store *s)
{
	s->backoff.failures = 0;
	s->retry_at_ms = 0;
}

void
store_record_failure(struct ld_store *s)
{
	uint64_t now = ld_loop_now(s->loop);

	s->endpoint = (s->endpoint + 1) % s->settings.n_endpoints;
	/* Concurrent calls that fail together count as one failure. */
	if (now < s->retry_at_ms)
		return;
	s->retry_at_ms = now + backoff_next(&s->backoff);
}

enum ld_status
store_check_response(
    struct ld_store *s, const struct ld_store_decoded *d, int64_t min_revision)
{
	if (s->cluster_id != 0 && d->cluster_id != s->cluster_id) {
		s->counters.other_cluster++;
		s->alarm = true;
		ld_log(LD_LOG_ERR, "store",
		    "response is from cluster %llu instead of %llu",
		    (unsigned long long)d->cluster_id,
		    (unsigned long long)s->cluster_id);
		return ld_fail(
		    LD_E_PROTOCOL, "response is from another cluster");
	}
	s->cluster_id = d->cluster_id;
	if (d->unversioned)
		return LD_OK;
	if (d->revision < min_revision) {
		s->counters.stale++;
		s->alarm = true;
		ld_log(LD_LOG_ERR, "store",
		    "response revision %lld is older than %lld",
		    (long long)d->revision, (long long)min_revision);
		return ld_fail(LD_E_STALE,
		    "stale response: revision %lld, already seen: %lld",
		    (long long)d->revision, (long long)min_revision);
	}
	if (d->revision > s->revision)
		s->revision = d->revision;
	return LD_OK;
}

/* ---- Eras ---- */

int64_t
ld_store_era(const struct ld_store *s)
{
	return s->era;
}

void
store_parse_era(const struct ld_store *s, struct ld_str name,
    struct ld_str value, int64_t *era)
{
	const char *field = s->codec->ops->era_field;
	int64_t n = 0;

	if (field == NULL || strlen(field) != name.len ||
	    strncasecmp(field, name.p, name.len) != 0)
		return;
	for (size_t i = 0; i < value.len && n <= LD_STORE_ERA_MAX; i++)
		n = value.p[i] >= '0' && value.p[i] <= '9'
		    ? 10 * n + (value.p[i] - '0')
		    : LD_STORE_ERA_MAX + 1;
	*era = n;
}

void
store_observe_era(struct ld_store *s, int64_t era)
{
	if (era <= s->era || era > LD_STORE_ERA_MAX)
		return;
	/* The first era that a process sees is no sign of a restored copy. */
	if (s->revision != 0) {
		s->counters.eras++;
		ld_log(LD_LOG_ERR, "store",
		    "the store was restored from an older copy: era %lld after "
		    "%lld",
		    (long long)era, (long long)s->era);
	}
	s->era = era;
}

static bool
add_era(int64_t *revision, int64_t era)
{
	if (*revision >> LD_STORE_REVISION_BITS != 0)
		return false;
	if (*revision != 0)
		*revision |= era << LD_STORE_REVISION_BITS;
	return true;
}

enum ld_status
store_apply_era(struct ld_store *s, int64_t era, struct ld_store_decoded *d)
{
	bool ok;

	if (s->codec->ops->era_field == NULL)
		return LD_OK;
	if (era < s->era) {
		s->counters.stale++;
		return ld_fail(LD_E_STALE,
		    "stale response: era %lld, already seen: %lld",
		    (long long)era, (long long)s->era);
	}
	ok = era <= LD_STORE_ERA_MAX && add_era(&d->revision, era);
	for (size_t i = 0; ok && i < d->n; i++)
		ok = add_era(&d->events[i].kv.mod_revision, era) &&
		    add_era(&d->events[i].kv.create_revision, era);
	if (!ok)
		return ld_fail(LD_E_PROTOCOL,
		    "revision or era of the store is out of range");
	store_observe_era(s, era);
	return LD_OK;
}

int64_t
store_wire_revision(const struct ld_store *s, int64_t revision)
{
	if (s->codec->ops->era_field == NULL)
		return revision;
	return revision & (((int64_t)1 << LD_STORE_REVISION_BITS) - 1);
}

char *
store_full_key(const struct ld_store *s, struct ld_str key)
{
	struct ld_buf b = {0};

	ld_buf_adds(&b, ld_str_c(s->prefix));
	ld_buf_adds(&b, key);
	ld_buf_cstr(&b);
	return b.p;
}

void
store_strip_prefix(const struct ld_store *s, struct ld_store_decoded *d)
{
	size_t n = strlen(s->prefix);

	for (size_t i = 0; i < d->n; i++) {
		struct ld_str *key = &d->events[i].kv.key;

		if (!ld_str_starts(*key, ld_str_c(s->prefix)))
			continue;
		/* Keep the start of the allocation, as it is freed later. */
		memmove((char *)key->p, key->p + n, key->len - n);
		key->len -= n;
	}
}
