/* Parses completion requests. */
#include <stdlib.h>
#include <string.h>

#include "completion_internal.h"

#define MODEL_MAX_BYTES 128
/* Bytes of the prompt used for cache affinity when a replica is chosen. */
#define PREFIX_BYTES 256
#define DEFAULT_MAX_TOKENS 256

static void
bad_request(struct ld_exchange *x, const char *detail)
{
	struct ld_problem p = {
	    .code = 400,
	    .type = "bad-request",
	    .title = "The request body can't be used",
	    .detail = detail,
	    .ran = LD_RAN_NO,
	};

	ld_exchange_problem(x, &p);
}

/* Requests with the same prompt prefix can use the same replica's cache. */
static uint64_t
hash_prompt_prefix(const json_t *doc)
{
	const json_t *prompt = json_object_get(doc, "prompt");
	const json_t *messages = json_object_get(doc, "messages");
	uint64_t hash;
	char *text;
	size_t len;

	text = json_dumps(
	    prompt != NULL ? prompt : messages, JSON_ENCODE_ANY | JSON_COMPACT);
	if (text == NULL)
		return 0;
	len = strnlen(text, PREFIX_BYTES);
	hash = ld_hash64((struct ld_str){text, len}, 0);
	free(text);
	return hash;
}

static const char *
check_body(const json_t *doc)
{
	const json_t *model = json_object_get(doc, "model");
	const json_t *stream = json_object_get(doc, "stream");
	const json_t *max = json_object_get(doc, "max_tokens");

	if (!json_is_object(doc))
		return "not a JSON object";
	if (!json_is_string(model) || json_string_length(model) == 0 ||
	    json_string_length(model) > MODEL_MAX_BYTES)
		return "model: a name of 1 to 128 bytes is needed";
	if (stream != NULL && !json_is_boolean(stream))
		return "stream: true or false is needed";
	if (max != NULL &&
	    (!json_is_integer(max) || json_integer_value(max) < 1))
		return "max_tokens: a whole number from 1 is needed";
	if (json_object_get(doc, "prompt") == NULL &&
	    !json_is_array(json_object_get(doc, "messages")))
		return "prompt or messages: one is needed";
	return NULL;
}

struct completion *
completion_new(struct ld_node *n, struct ld_exchange *x,
    const struct ld_entry *e, const json_t *doc)
{
	struct completion *c = ld_alloc(sizeof(*c));
	const json_t *max = json_object_get(doc, "max_tokens");

	c->node = n;
	c->x = x;
	c->model = ld_strdup(json_string_value(json_object_get(doc, "model")));
	c->stream = json_is_true(json_object_get(doc, "stream"));
	c->max_tokens = max != NULL ? (uint64_t)json_integer_value(max)
				    : DEFAULT_MAX_TOKENS;
	c->prefix_hash = hash_prompt_prefix(doc);
	c->owner = ld_strdup(e->owner);
	c->class = e->class;
	for (int o = 0; o < LD_O_COUNT; o++)
		c->goals[o] = ld_burn_goal(n->burn, ld_str_c(e->owner),
		    ld_str_c(ld_class_name(e->class)), (enum ld_objective)o);
	c->started_ms = node_now(n);
	c->deadline_ms = node_now(n) + n->settings->engine_request_timeout_ms;
	c->next = n->completions;
	c->link = &n->completions;
	if (c->next != NULL)
		c->next->link = &c->next;
	n->completions = c;
	ld_exchange_set_user_data(x, c);
	return c;
}

json_t *
completion_read(struct ld_exchange *x)
{
	struct ld_str body = ld_exchange_body(x);
	const char *wrong;
	json_error_t err;
	json_t *doc;

	doc = json_loadb(body.p, body.len, JSON_REJECT_DUPLICATES, &err);
	wrong = doc == NULL ? err.text : check_body(doc);
	if (wrong == NULL)
		return doc;
	bad_request(x, wrong);
	json_decref(doc);
	return NULL;
}
