/* Reads the lists of objects: services, models and objective overrides. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "settings_internal.h"

#define MODEL_SIZE_MAX 64
#define THRESHOLD_MAX_MS 3600000
#define MODEL_WANTED_MAX 128

/* ---- Services ---- */

static void
check_service_members(struct check *ck, const char *path, json_t *v)
{
	static const char *const names[] = {
	    "name", "servers", "not_idempotent"};
	const char *key;
	json_t *member;

	json_object_foreach(v, key, member)
	{
		char member_path[PATH_MAX_BYTES];
		bool ok = false;

		for (size_t i = 0; i < 3; i++)
			ok |= strcmp(key, names[i]) == 0;
		if (ok)
			continue;
		snprintf(member_path, sizeof(member_path), "%s.%s", path, key);
		settings_report_fault(
		    ck, member_path, member, "name, servers, not_idempotent");
	}
}

static void
read_rules(struct check *ck, const char *path, const json_t *v,
    struct ld_service_settings *svc)
{
	size_t n = json_array_size(v);
	char member_path[PATH_MAX_BYTES];

	if (v == NULL)
		return;
	if (!json_is_array(v)) {
		snprintf(member_path, sizeof(member_path), "%s.not_idempotent",
		    path);
		settings_report_fault(
		    ck, member_path, v, "a list of {method, path}");
		return;
	}
	svc->not_idempotent = ld_alloc(n * sizeof(*svc->not_idempotent));
	for (size_t i = 0; i < n; i++) {
		const json_t *rule = json_array_get(v, i);
		const json_t *method = json_object_get(rule, "method");
		const json_t *prefix = json_object_get(rule, "path");

		snprintf(member_path, sizeof(member_path),
		    "%s.not_idempotent[%zu]", path, i);
		if (!json_is_string(method) || !json_is_string(prefix) ||
		    json_string_value(prefix)[0] != '/') {
			settings_report_fault(ck, member_path, rule,
			    "{method, path starting with /}");
			continue;
		}
		svc->not_idempotent[svc->rule_count].method =
		    ld_strdup(json_string_value(method));
		svc->not_idempotent[svc->rule_count].path_prefix =
		    ld_strdup(json_string_value(prefix));
		svc->rule_count++;
	}
}

static void
read_service(struct check *ck, size_t i, json_t *v)
{
	struct ld_service_settings *svc = &ck->out->services[i];
	const json_t *name = json_object_get(v, "name");
	const json_t *servers = json_object_get(v, "servers");
	char path[PATH_MAX_BYTES], member_path[PATH_MAX_BYTES + 16];

	snprintf(path, sizeof(path), "services[%zu]", i);
	if (!json_is_object(v)) {
		settings_report_fault(
		    ck, path, v, "{name, servers, not_idempotent}");
		return;
	}
	check_service_members(ck, path, v);
	snprintf(member_path, sizeof(member_path), "%s.name", path);
	if (!json_is_string(name) || json_string_length(name) == 0 ||
	    strchr(json_string_value(name), '/') != NULL)
		settings_report_fault(
		    ck, member_path, name, "a name without /");
	else
		svc->name = ld_strdup(json_string_value(name));
	snprintf(member_path, sizeof(member_path), "%s.servers", path);
	if (!settings_read_addresses(servers, 1, 256, &svc->servers))
		settings_report_fault(
		    ck, member_path, servers, "a list of 1 to 256 IPv4:port");
	read_rules(ck, path, json_object_get(v, "not_idempotent"), svc);
}

static void
check_service_names(struct check *ck)
{
	struct ld_settings *s = ck->out;

	for (size_t i = 0; i < s->service_count; i++) {
		for (size_t j = 0; j < i; j++) {
			if (s->services[i].name == NULL ||
			    s->services[j].name == NULL ||
			    strcmp(s->services[i].name, s->services[j].name) !=
				0)
				continue;
			ld_buf_printf(ck->faults,
			    "%s: services[%zu].name: found \"%s\" again, "
			    "allowed: each name once\n",
			    ck->file, i, s->services[i].name);
			ck->fault_count++;
		}
	}
}

void
settings_read_services(
    struct check *ck, const struct ld_setting *row, const json_t *v)
{
	size_t n = json_array_size(v);

	if (!json_is_array(v) || n > row->max) {
		settings_report_fault(ck, row->path, v, "a list of services");
		return;
	}
	ck->out->services = ld_alloc(n * sizeof(*ck->out->services));
	ck->out->service_count = n;
	for (size_t i = 0; i < n; i++)
		read_service(ck, i, json_array_get(v, i));
	check_service_names(ck);
}

/* ---- Models ---- */

static bool
read_bounded(const json_t *v, const char *name, json_int_t max, uint64_t *out)
{
	const json_t *member = json_object_get(v, name);
	json_int_t n = json_integer_value(member);

	if (!json_is_integer(member) || n < 1 || n > max)
		return false;
	*out = (uint64_t)n;
	return true;
}

void
settings_read_models(
    struct check *ck, const struct ld_setting *row, const json_t *v)
{
	size_t n = json_array_size(v);
	char member_path[PATH_MAX_BYTES];

	if (!json_is_array(v) || n > row->max) {
		settings_report_fault(
		    ck, row->path, v, "a list of at most 16 models");
		return;
	}
	ck->out->models = ld_alloc(n * sizeof(*ck->out->models));
	for (size_t i = 0; i < n; i++) {
		struct ld_model_settings *m = &ck->out->models[i];
		const json_t *model = json_array_get(v, i);
		const json_t *name = json_object_get(model, "name");

		snprintf(
		    member_path, sizeof(member_path), "%s[%zu]", row->path, i);
		ck->out->model_count++;
		if (!json_is_string(name) || json_string_length(name) == 0 ||
		    json_object_size(model) != 3 ||
		    !read_bounded(model, "size", MODEL_SIZE_MAX, &m->size) ||
		    !read_bounded(
			model, "wanted", MODEL_WANTED_MAX, &m->wanted)) {
			settings_report_fault(ck, member_path, model,
			    "{name, size from 1 to 64, wanted from 1 to 128}");
			continue;
		}
		m->name = ld_strdup(json_string_value(name));
	}
}

/* ---- Objectives of one caller or class ---- */

static bool
is_objective(const char *name)
{
	static const char *const names[] = {
	    "first-token", "token-gap", "answered"};

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (name != NULL && strcmp(names[i], name) == 0)
			return true;
	return false;
}

static char *
copy_member(const json_t *v, const char *name)
{
	const char *s = json_string_value(json_object_get(v, name));

	return s != NULL && s[0] != '\0' ? ld_strdup(s) : NULL;
}

static bool
read_override(const json_t *v, struct ld_objective_settings *o)
{
	uint64_t members = 3;

	o->owner = copy_member(v, "owner");
	o->class = copy_member(v, "class");
	o->objective = copy_member(v, "objective");
	members += (o->owner != NULL) + (o->class != NULL);
	return members > 3 && json_object_size(v) == members &&
	    is_objective(o->objective) &&
	    read_bounded(
		v, "threshold_ms", THRESHOLD_MAX_MS, &o->threshold_ms) &&
	    read_bounded(v, "target_permille", 999, &o->target_permille);
}

void
settings_read_overrides(
    struct check *ck, const struct ld_setting *row, const json_t *v)
{
	size_t n = json_array_size(v);
	char member_path[PATH_MAX_BYTES];

	if (!json_is_array(v) || n > row->max) {
		settings_report_fault(
		    ck, row->path, v, "a list of at most 1024 objectives");
		return;
	}
	ck->out->overrides = ld_alloc(n * sizeof(*ck->out->overrides));
	ck->out->override_count = n;
	for (size_t i = 0; i < n; i++) {
		const json_t *item = json_array_get(v, i);

		if (read_override(item, &ck->out->overrides[i]))
			continue;
		snprintf(
		    member_path, sizeof(member_path), "%s[%zu]", row->path, i);
		settings_report_fault(ck, member_path, item,
		    "{owner and/or class, objective first-token, token-gap or "
		    "answered, threshold_ms from 1, target_permille from 1 to "
		    "999}");
	}
}

/* ---- Freeing ---- */

static void
service_fini(struct ld_service_settings *svc)
{
	free(svc->name);
	settings_addresses_fini(&svc->servers);
	for (size_t i = 0; i < svc->rule_count; i++) {
		free(svc->not_idempotent[i].method);
		free(svc->not_idempotent[i].path_prefix);
	}
	free(svc->not_idempotent);
}

void
settings_lists_fini(struct ld_settings *s)
{
	for (size_t i = 0; i < s->service_count; i++)
		service_fini(&s->services[i]);
	free(s->services);
	for (size_t i = 0; i < s->model_count; i++)
		free(s->models[i].name);
	free(s->models);
	for (size_t i = 0; i < s->override_count; i++) {
		free(s->overrides[i].owner);
		free(s->overrides[i].class);
		free(s->overrides[i].objective);
	}
	free(s->overrides);
}
