/* Reads and validates settings as described by their table. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "settings_internal.h"

#define FILE_MAX_BYTES 1048576
#define VALUE_TEXT_MAX_BYTES 60
#define SUGGESTION_CANDIDATES_MAX 64
#define THOUSANDTHS 1000.0
#define PORT_DIGITS_MAX 5

/* ---- Faults ---- */

void
settings_report_fault(struct check *ck, const char *path, const json_t *found,
    const char *allowed)
{
	char *text = NULL;

	if (found != NULL)
		text = json_dumps(found, JSON_ENCODE_ANY | JSON_COMPACT);
	ld_buf_printf(ck->faults, "%s: %s: found %.*s, allowed: %s\n", ck->file,
	    path, VALUE_TEXT_MAX_BYTES, text != NULL ? text : "nothing",
	    allowed);
	ck->fault_count++;
	free(text);
}

/* ---- Addresses ---- */

/* Unlike strtoul(): no sign, no spaces, and no more digits than a port has. */
static bool
parse_port(const char *text, uint16_t *out)
{
	size_t n = strspn(text, "0123456789");
	unsigned long port = strtoul(text, NULL, 10);

	if (n == 0 || n > PORT_DIGITS_MAX || text[n] != '\0' || port < 1 ||
	    port > UINT16_MAX)
		return false;
	*out = (uint16_t)port;
	return true;
}

enum ld_status
ld_address_parse(struct ld_str text, struct ld_address *out)
{
	char *copy = ld_str_dup(text);
	char *colon = strrchr(copy, ':');
	struct in_addr ignored;
	uint16_t port;

	if (colon != NULL)
		*colon = '\0';
	if (colon == NULL || memchr(text.p, '\0', text.len) != NULL ||
	    !parse_port(colon + 1, &port) ||
	    inet_pton(AF_INET, copy, &ignored) != 1) {
		free(copy);
		return ld_fail(LD_E_INVALID, "not an IPv4 number and port");
	}
	out->host = copy;
	out->port = port;
	out->text = ld_str_dup(text);
	return LD_OK;
}

void
ld_address_fini(struct ld_address *a)
{
	free(a->text);
	free(a->host);
	memset(a, 0, sizeof(*a));
}

void
settings_addresses_fini(struct ld_address_list *l)
{
	for (size_t i = 0; i < l->count; i++)
		ld_address_fini(&l->at[i]);
	free(l->at);
}

/* ---- One reader per type: false when the value is not allowed ---- */

static bool
read_string(const json_t *v, const struct ld_setting *row, char **out)
{
	size_t len = json_string_length(v);

	if (!json_is_string(v) || len < row->min || len > row->max)
		return false;
	*out = ld_strdup(json_string_value(v));
	return true;
}

static bool
read_address(const json_t *v, struct ld_address *out)
{
	struct ld_str s = {json_string_value(v), json_string_length(v)};

	return json_is_string(v) && ld_address_parse(s, out) == LD_OK;
}

bool
settings_read_addresses(
    const json_t *v, uint64_t min, uint64_t max, struct ld_address_list *out)
{
	size_t n = json_array_size(v);

	if (!json_is_array(v) || n < min || n > max)
		return false;
	out->at = ld_alloc(n * sizeof(*out->at));
	for (size_t i = 0; i < n; i++) {
		if (!read_address(json_array_get(v, i), &out->at[i]))
			return false;
		out->count++;
	}
	return true;
}

static bool
read_uint(const json_t *v, const struct ld_setting *row, uint64_t *out)
{
	json_int_t n = json_integer_value(v);

	if (!json_is_integer(v) || n < 0 || (uint64_t)n < row->min ||
	    (uint64_t)n > row->max)
		return false;
	*out = (uint64_t)n;
	return true;
}

/* Accepts any non-negative number. One that is not whole in the field's unit or
 * lies outside the row's bounds is adjusted, and a line on it is added to
 * ck->adjusted. */
static bool
read_rounded(struct check *ck, const struct ld_setting *row, const json_t *v,
    double scale, uint64_t *out)
{
	double n = json_number_value(v) * scale;
	double rounded =
	    row->rounding == LD_ROUND_UP ? ceil(n - 1e-6) : floor(n + 1e-6);
	char *text;

	if (!json_is_number(v) || n < 0)
		return false;
	if (rounded < (double)row->min)
		rounded = (double)row->min;
	if (rounded > (double)row->max)
		rounded = (double)row->max;
	*out = (uint64_t)rounded;
	if (fabs(rounded - n) <= 1e-6 || ck->adjusted == NULL)
		return true;
	text = json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT);
	ld_buf_printf(ck->adjusted, "%s found=%.*s used=%g\n", row->path,
	    VALUE_TEXT_MAX_BYTES, text != NULL ? text : "?", rounded / scale);
	free(text);
	return true;
}

static bool
read_thousandths(const json_t *v, const struct ld_setting *row, uint64_t *out)
{
	double n = json_number_value(v) * THOUSANDTHS;

	if (!json_is_number(v) || n < (double)row->min || n > (double)row->max)
		return false;
	*out = (uint64_t)(n + 0.5);
	return true;
}

static bool
read_fabrics(
    const json_t *v, const struct ld_setting *row, struct ld_settings *s)
{
	size_t n = json_array_size(v);

	if (!json_is_array(v) || n > row->max)
		return false;
	s->fabrics = ld_alloc(n * sizeof(*s->fabrics));
	for (size_t i = 0; i < n; i++) {
		const json_t *name = json_array_get(v, i);

		if (!json_is_string(name) || json_string_length(name) == 0)
			return false;
		s->fabrics[i] = ld_strdup(json_string_value(name));
		s->fabric_count++;
	}
	return true;
}

/* ---- Rows ---- */

static void
allowed_text(const struct ld_setting *row, char *out, size_t size)
{
	const char *type = ld_setting_type_name(row->type);

	if (row->rounding != LD_ROUND_NONE) {
		snprintf(out, size, "a number from 0");
		return;
	}
	switch (row->type) {
	case LD_SETTING_UINT:
	case LD_SETTING_STRING:
	case LD_SETTING_ADDRESS_LIST:
	case LD_SETTING_STRING_LIST:
		snprintf(out, size, "a %s%s from %llu to %llu", type,
		    row->type == LD_SETTING_UINT ? "" : ", length",
		    (unsigned long long)row->min, (unsigned long long)row->max);
		break;
	case LD_SETTING_RATIO:
	case LD_SETTING_SECONDS:
		snprintf(out, size, "a %s from %g to %g", type,
		    (double)row->min / 1000.0, (double)row->max / 1000.0);
		break;
	case LD_SETTING_ADDRESS:
		snprintf(out, size, "an IPv4 number and port, \"a.b.c.d:n\"");
		break;
	default:
		snprintf(out, size, "%s", type);
		break;
	}
}

static bool
read_value(struct check *ck, const struct ld_setting *row, const json_t *v)
{
	char *field = (char *)ck->out + row->offset;

	if (row->rounding != LD_ROUND_NONE)
		return read_rounded(ck, row, v,
		    row->type == LD_SETTING_UINT ? 1.0 : THOUSANDTHS,
		    (uint64_t *)field);
	switch (row->type) {
	case LD_SETTING_STRING:
		return read_string(v, row, (char **)field);
	case LD_SETTING_ADDRESS:
		return read_address(v, (struct ld_address *)field);
	case LD_SETTING_ADDRESS_LIST:
		return settings_read_addresses(
		    v, row->min, row->max, (struct ld_address_list *)field);
	case LD_SETTING_STRING_LIST:
		return read_fabrics(v, row, ck->out);
	case LD_SETTING_UINT:
		return read_uint(v, row, (uint64_t *)field);
	case LD_SETTING_RATIO:
	case LD_SETTING_SECONDS:
		return read_thousandths(v, row, (uint64_t *)field);
	case LD_SETTING_BOOL:
		*(bool *)field = json_is_true(v);
		return json_is_boolean(v);
	case LD_SETTING_SERVICES:
		settings_read_services(ck, row, v);
		return true;
	case LD_SETTING_MODELS:
		settings_read_models(ck, row, v);
		return true;
	case LD_SETTING_OBJECTIVES:
		settings_read_overrides(ck, row, v);
		return true;
	}
	return false;
}

static const json_t *
lookup(const json_t *root, const char *path)
{
	const char *dot = strchr(path, '.');
	char section[PATH_MAX_BYTES];

	if (dot == NULL)
		return json_object_get(root, path);
	snprintf(section, sizeof(section), "%.*s", (int)(dot - path), path);
	return json_object_get(json_object_get(root, section), dot + 1);
}

static void
read_row(struct check *ck, const struct ld_setting *row, const json_t *root)
{
	const json_t *v = lookup(root, row->path);
	json_t *fallback = NULL;
	char allowed[PATH_MAX_BYTES];

	/* The platform renders a member that it has no value for as null. */
	if (json_is_null(v) && row->fallback != NULL)
		v = NULL;
	allowed_text(row, allowed, sizeof(allowed));
	if (v == NULL && row->fallback == NULL) {
		settings_report_fault(ck, row->path, NULL, allowed);
		return;
	}
	if (v == NULL) {
		fallback = json_loads(row->fallback, JSON_DECODE_ANY, NULL);
		v = fallback;
	}
	if (!read_value(ck, row, v))
		settings_report_fault(ck, row->path, v, allowed);
	json_decref(fallback);
}

/* ---- Unknown members ---- */

static bool
is_known(const struct check *ck, const char *path, bool as_section)
{
	size_t len = strlen(path);

	for (const struct ld_setting *r = ck->table; r->path != NULL; r++) {
		if (strcmp(r->path, path) == 0)
			return true;
		if (as_section && strncmp(r->path, path, len) == 0 &&
		    r->path[len] == '.')
			return true;
	}
	return false;
}

static void
report_unknown(struct check *ck, const char *path)
{
	const char *names[SUGGESTION_CANDIDATES_MAX];
	const char *nearest;
	size_t n = 0;

	for (const struct ld_setting *r = ck->table;
	     r->path != NULL && n < SUGGESTION_CANDIDATES_MAX; r++)
		names[n++] = r->path;
	nearest = ld_nearest_name(path, names, n);
	ld_buf_printf(ck->faults, "%s: %s: no such member%s%s%s\n", ck->file,
	    path, nearest != NULL ? ", nearest: " : "",
	    nearest != NULL ? nearest : "",
	    nearest != NULL ? "" : ", allowed: those of docs/SETTINGS.md");
	ck->fault_count++;
}

static void
check_unknown(struct check *ck, json_t *root)
{
	const char *section, *member;
	char path[PATH_MAX_BYTES];
	json_t *v, *ignored;

	json_object_foreach(root, section, v)
	{
		if (!is_known(ck, section, true)) {
			report_unknown(ck, section);
			continue;
		}
		if (!json_is_object(v))
			continue;
		json_object_foreach(v, member, ignored)
		{
			snprintf(path, sizeof(path), "%s.%s", section, member);
			if (!is_known(ck, path, false))
				report_unknown(ck, path);
		}
	}
}

/* ---- Entry points ---- */

/* Reads @text into @out, a zeroed struct of the type that @table describes. */
static enum ld_status
parse_by_table(struct ld_str text, const char *file,
    const struct ld_setting *table, void *out, struct ld_buf *faults,
    struct ld_buf *adjusted)
{
	struct check ck = {.file = file,
	    .faults = faults,
	    .table = table,
	    .out = out,
	    .adjusted = adjusted};
	json_error_t err;
	json_t *root;

	root = json_loadb(text.p, text.len, JSON_REJECT_DUPLICATES, &err);
	if (!json_is_object(root)) {
		ld_buf_printf(faults, "%s: line %d, column %d: %s\n", file,
		    root == NULL ? err.line : 1, root == NULL ? err.column : 1,
		    root == NULL ? err.text : "not a JSON object");
		json_decref(root);
		return ld_fail(LD_E_INVALID, "settings are not JSON");
	}
	for (const struct ld_setting *r = table; r->path != NULL; r++)
		read_row(&ck, r, root);
	check_unknown(&ck, root);
	json_decref(root);
	if (ck.fault_count > 0)
		return ld_fail(
		    LD_E_INVALID, "%u faults in the settings", ck.fault_count);
	return LD_OK;
}

enum ld_status
ld_settings_parse(struct ld_str text, const char *file,
    struct ld_settings **out, struct ld_buf *faults)
{
	struct ld_settings *s = ld_alloc(sizeof(*s));
	enum ld_status st;

	*out = NULL;
	st = parse_by_table(text, file, ld_settings_table(), s, faults, NULL);
	if (st == LD_OK)
		*out = s;
	else
		ld_settings_free(s);
	return st;
}

static enum ld_status
read_file(const char *file, struct ld_buf *text, struct ld_buf *faults)
{
	ssize_t n = -1;
	int fd = open(file, O_RDONLY | O_CLOEXEC);

	if (fd >= 0) {
		ld_buf_reserve(text, FILE_MAX_BYTES);
		n = read(fd, text->p, FILE_MAX_BYTES);
		close(fd);
	}
	if (n < 0) {
		ld_buf_printf(faults, "%s: %s\n", file, strerror(errno));
		return ld_fail(LD_E_IO, "%s can't be read", file);
	}
	text->len = (size_t)n;
	return LD_OK;
}

enum ld_status
ld_settings_load(
    const char *file, struct ld_settings **out, struct ld_buf *faults)
{
	struct ld_buf text = {0};
	enum ld_status st = read_file(file, &text, faults);

	*out = NULL;
	if (st == LD_OK)
		st = ld_settings_parse(ld_buf_str(&text), file, out, faults);
	ld_buf_free(&text);
	return st;
}

enum ld_status
ld_relay_settings_load(
    const char *file, struct ld_relay_settings **out, struct ld_buf *faults)
{
	struct ld_relay_settings *s = ld_alloc(sizeof(*s));
	struct ld_buf text = {0};
	enum ld_status st = read_file(file, &text, faults);

	if (st == LD_OK)
		st = parse_by_table(ld_buf_str(&text), file,
		    ld_relay_settings_table(), s, faults, &s->adjusted);
	ld_buf_free(&text);
	*out = st == LD_OK ? s : NULL;
	if (st != LD_OK)
		ld_relay_settings_free(s);
	return st;
}

static void
row_fini(void *s, const struct ld_setting *row)
{
	char *field = (char *)s + row->offset;

	switch (row->type) {
	case LD_SETTING_STRING:
		free(*(char **)field);
		break;
	case LD_SETTING_ADDRESS:
		ld_address_fini((struct ld_address *)field);
		break;
	case LD_SETTING_ADDRESS_LIST:
		settings_addresses_fini((struct ld_address_list *)field);
		break;
	default:
		break;
	}
}

void
ld_relay_settings_free(struct ld_relay_settings *s)
{
	if (s == NULL)
		return;
	for (const struct ld_setting *r = ld_relay_settings_table();
	     r->path != NULL; r++)
		row_fini(s, r);
	ld_buf_free(&s->adjusted);
	free(s);
}

void
ld_settings_free(struct ld_settings *s)
{
	if (s == NULL)
		return;
	for (const struct ld_setting *r = ld_settings_table(); r->path != NULL;
	     r++)
		row_fini(s, r);
	for (size_t i = 0; i < s->fabric_count; i++)
		free(s->fabrics[i]);
	free(s->fabrics);
	settings_lists_fini(s);
	free(s);
}
