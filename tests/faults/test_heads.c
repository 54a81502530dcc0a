/*
 * Any head that the operators' limits allow reaches a server whole and in order,
 * with the fields that the node sets; the same of the head of an answer.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "ld_backend.h"
#include "ld_raw_server.h"
#include "ld_relay_session.h"

/* max_header_bytes of put_config(). */
#define HEAD_MAX_BYTES ((size_t)16384)
#define ANSWER_BYTES 65536
#define WAIT_MS 5000
#define SEED 54
#define ROUNDS 60

static struct raw_server raw;
static struct ld_rand dice;

/** struct answer - what a client with a plain socket got */
struct answer {
	char text[ANSWER_BYTES];
	size_t len;
	int code; /* 0: no whole head */
};

static int
connect_to_relay(void)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_port = htons((uint16_t)atoi(strchr(relay_address, ':') + 1));
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_FATAL(
	    fd >= 0 && connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0);
	return fd;
}

/* Sends one request and reads until the relay closes. */
static struct answer *
exchange(struct ld_str head)
{
	static struct answer a;
	int fd = connect_to_relay();

	memset(&a, 0, sizeof(a));
	CU_ASSERT_EQUAL(
	    send(fd, head.p, head.len, MSG_NOSIGNAL), (ssize_t)head.len);
	for (int ms = 0; ms < WAIT_MS; ms += 2) {
		ssize_t n = recv(fd, a.text + a.len, sizeof(a.text) - 1 - a.len,
		    MSG_DONTWAIT);

		if (n == 0)
			break;
		if (n > 0)
			a.len += (size_t)n;
		run_for(2);
	}
	close(fd);
	if (strstr(a.text, "\r\n\r\n") != NULL)
		a.code = atoi(a.text + strlen("HTTP/1.1 "));
	return &a;
}

/* The line of the field in @head, or NULL; its value is at *@value. */
static const char *
find_field(const char *head, const char *name, const char **value)
{
	size_t n = strlen(name);

	for (const char *p = strstr(head, "\r\n"); p != NULL && p[2] != '\r';
	     p = strstr(p + 2, "\r\n")) {
		if (strncasecmp(p + 2, name, n) != 0 || p[2 + n] != ':')
			continue;
		*value = p + 2 + n + 1;
		while (**value == ' ')
			++*value;
		return p;
	}
	return NULL;
}

static bool
has_field(const char *head, const char *name, const char *value)
{
	const char *found, *p = head;
	size_t n = strlen(value);

	p = find_field(p, name, &found);
	return p != NULL && strncmp(found, value, n) == 0 && found[n] == '\r' &&
	    find_field(p + 2, name, &found) == NULL;
}

/* A field of the client that servers must get unchanged. */
static void
add_field(struct ld_buf *out, unsigned int i, size_t value_bytes)
{
	ld_buf_printf(out, "X-F%u: ", i);
	for (size_t k = 0; k < value_bytes; k++)
		ld_buf_printf(out, "%c", 'a' + (int)((i + k) % 26));
	ld_buf_printf(out, "\r\n");
}

static void
add_common_fields(struct ld_buf *out)
{
	ld_buf_printf(out,
	    "GET /look/a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\n"
	    "X-Deadline-Ms: 4000\r\nAuthorization: Bearer k1\r\n"
	    "Connection: close, X-Private\r\nX-Private: 1\r\n",
	    RELAY_REQUEST_ID);
}

/* The client's own values of what the node sets. */
static const char *const foreign[] = {"X-Tenant: other\r\n",
    "X-Expect-Instance: i-9\r\n", "X-Request-Priority: 0\r\n",
    "x-tenant: third\r\n"};

/* A head of @fields fields of random lengths, @max_bytes at most. */
static struct ld_buf
draw_head(unsigned int *fields, size_t max_bytes)
{
	struct ld_buf head = {0};
	size_t each;
	unsigned int n;

	add_common_fields(&head);
	for (size_t i = 0; i < sizeof(foreign) / sizeof(foreign[0]); i++)
		ld_buf_printf(&head, "%s", foreign[i]);
	each = (max_bytes - head.len - 2) / *fields;
	for (n = 0; n < *fields && each > 12; n++)
		add_field(
		    &head, n, (size_t)ld_rand_below(&dice, each - 11) + 1);
	*fields = n;
	ld_buf_printf(&head, "\r\n");
	return head;
}

static const struct raw_step answers_ok[] = {
    {0, 0,
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: " RELAY_REQUEST_ID
	"\r\nX-Server-Signature: s\r\nContent-Length: 2\r\n\r\nok",
	RAW_KEEP},
    {0},
};

/* Whether the server got all of the client's fields, in order. */
static bool
got_all(const char *got, unsigned int fields, const struct ld_buf *sent)
{
	const char *p = got, *from = sent->p;

	for (unsigned int i = 0; i < fields; i++) {
		char line[16];
		const char *end;

		snprintf(line, sizeof(line), "\r\nX-F%u: ", i);
		from = strstr(from, line);
		p = strstr(p, line);
		if (from == NULL || p == NULL)
			return false;
		end = strstr(from + 2, "\r\n");
		if (strncmp(p, from, (size_t)(end - from) + 2) != 0)
			return false;
	}
	return true;
}

static void
check_head(unsigned int fields, size_t bytes)
{
	struct ld_buf head = draw_head(&fields, bytes);
	const char *got = raw.last_request, *value;
	struct answer *a;

	raw_server_play(&raw, answers_ok);
	ld_buf_cstr(&head);
	a = exchange(ld_buf_str(&head));
	if (a->code != 200 || !got_all(got, fields, &head))
		printf("%u fields, %zu bytes: %d, arrived %u\n", fields,
		    head.len, a->code, raw.requests);
	CU_ASSERT_EQUAL(a->code, 200);
	CU_ASSERT_EQUAL(raw.requests, 1);
	CU_ASSERT(got_all(got, fields, &head));
	CU_ASSERT(has_field(got, "X-Tenant", "shop"));
	CU_ASSERT(has_field(got, "X-Expect-Instance", "f-0"));
	CU_ASSERT(has_field(got, "X-Attempt-Id", RELAY_REQUEST_ID));
	CU_ASSERT_PTR_NOT_NULL(find_field(got, "X-Deadline-Ms", &value));
	CU_ASSERT_PTR_NOT_NULL(find_field(got, "X-Request-Priority", &value));
	CU_ASSERT_PTR_NULL(find_field(got, "X-Private", &value));
	CU_ASSERT_PTR_NULL(find_field(got, "Authorization", &value));
	ld_buf_free(&head);
}

/* ---- Tests, in this order, on one relay ---- */

static void
test_many_fields_reach_the_server_with_ours(void)
{
	open_all(relay_program);
	ld_rand_seed(&dice, SEED);
	raw_server_open(&raw, session_loop(), "f-0");
	wait_until_serving();
	list_servers(&raw.entry, false);
	for (unsigned int fields = 1; fields <= 200; fields += 13)
		check_head(fields, 4000 + ld_rand_below(&dice, 4000));
}

/* Any number of fields within the operators' limit of bytes. */
static void
test_any_head_within_the_limits_is_served(void)
{
	for (unsigned int i = 0; i < ROUNDS; i++) {
		size_t bytes =
		    1000 + ld_rand_below(&dice, HEAD_MAX_BYTES - 1000);
		size_t most = bytes / 14;

		check_head(1 + (unsigned int)ld_rand_below(&dice, most), bytes);
	}
	check_head(400, HEAD_MAX_BYTES);
	check_head(1000, HEAD_MAX_BYTES);
}

/* An answer of @fields fields, the signature behind them. */
static void
check_answer(unsigned int fields, size_t value_bytes)
{
	struct ld_buf text = {0}, head = {0};
	struct raw_step script[] = {{0, 0, NULL, RAW_KEEP}, {0}};
	struct answer *a;

	ld_buf_printf(
	    &text, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n", RELAY_REQUEST_ID);
	for (unsigned int i = 0; i < fields; i++)
		add_field(&text, i, value_bytes);
	ld_buf_printf(
	    &text, "X-Server-Signature: s\r\nContent-Length: 2\r\n\r\nok");
	script[0].bytes = ld_buf_cstr(&text);
	raw_server_play(&raw, script);
	add_common_fields(&head);
	ld_buf_printf(&head, "\r\n");
	a = exchange(ld_buf_str(&head));
	CU_ASSERT_EQUAL(a->code, 200);
	CU_ASSERT(got_all(a->text, fields, &text));
	CU_ASSERT(has_field(a->text, "X-Server-Signature", "s"));
	ld_buf_free(&text);
	ld_buf_free(&head);
}

static void
test_many_fields_of_an_answer_reach_the_client(void)
{
	for (unsigned int fields = 0; fields <= 400; fields += 25)
		check_answer(fields, 1 + ld_rand_below(&dice, 20));
}

/* The server's answer can't be passed on; it has run. */
static void
check_refused_answer(void)
{
	struct ld_buf head = {0};
	struct answer *a;

	add_common_fields(&head);
	ld_buf_printf(&head, "\r\n");
	a = exchange(ld_buf_str(&head));
	CU_ASSERT_EQUAL(a->code, 502);
	ld_buf_free(&head);
}

/* Beyond the limits: refused, or a server's fault, never less than it was. */
static void
test_larger_heads_get_a_clear_refusal(void)
{
	struct ld_buf head = {0};
	struct raw_step script[] = {{0, 0, NULL, RAW_KEEP}, {0}};
	unsigned int fields = 20;
	struct answer *a;

	head = draw_head(&fields, 3 * HEAD_MAX_BYTES);
	while (head.len < HEAD_MAX_BYTES + 1) {
		ld_buf_free(&head);
		head = draw_head(&fields, 3 * HEAD_MAX_BYTES);
	}
	raw_server_play(&raw, answers_ok);
	a = exchange(ld_buf_str(&head));
	CU_ASSERT_EQUAL(a->code, 431);
	CU_ASSERT_EQUAL(raw.requests, 0);
	ld_buf_free(&head);
	head = (struct ld_buf){0};
	ld_buf_printf(&head,
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
	    "X-Server-Signature: s\r\n",
	    RELAY_REQUEST_ID);
	for (unsigned int i = 0; i < 40; i++)
		add_field(&head, i, 1000);
	ld_buf_printf(&head, "Content-Length: 2\r\n\r\nok");
	script[0].bytes = ld_buf_cstr(&head);
	raw_server_play(&raw, script);
	fields = 1;
	check_refused_answer();
	ld_buf_free(&head);
}

/* The largest heads of both at the same time. */
static void
test_the_largest_heads_of_both(void)
{
	struct ld_buf head = {0}, text = {0};
	struct raw_step script[] = {{0, 0, NULL, RAW_KEEP}, {0}};
	unsigned int fields = 0;
	struct answer *a;

	/* The relay passes over the server that has just failed. */
	run_for(1000);
	ld_buf_printf(&text,
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
	    "X-Server-Signature: s\r\n",
	    RELAY_REQUEST_ID);
	for (unsigned int i = 0; i < 16; i++)
		add_field(&text, i, 980);
	ld_buf_printf(&text, "Content-Length: 2\r\n\r\nok");
	script[0].bytes = ld_buf_cstr(&text);
	raw_server_play(&raw, script);
	add_common_fields(&head);
	while (head.len + 24 < HEAD_MAX_BYTES)
		add_field(&head, fields++, 6);
	ld_buf_printf(&head, "\r\n");
	a = exchange(ld_buf_str(&head));
	printf("%u fields, %zu bytes: %d, %zu bytes\n", fields, head.len,
	    a->code, a->len);
	CU_ASSERT_EQUAL(a->code, 200);
	CU_ASSERT(got_all(raw.last_request, fields, &head));
	CU_ASSERT(got_all(a->text, 16, &text));
	ld_buf_free(&head);
	ld_buf_free(&text);
}

#define LONG_TYPE_BYTES 2000

static void
on_service_done(void *owner, const struct ld_http_result *r,
    struct ld_str content_type, struct ld_str body)
{
	*(bool *)owner = true;
}

/* A plain service of `lavenderdrift serve`. */
static void
test_a_long_content_type_reaches_a_service_whole(void)
{
	static const struct ld_service_ops ops = {.done = on_service_done};
	struct ld_http *http = ld_http_new(session_loop());
	char type[LONG_TYPE_BYTES + 1];
	struct ld_service_request rq = {.address = raw.entry.address,
	    .method = "POST",
	    .target = "/",
	    .content_type = type,
	    .request_id = "r",
	    .body = LD_STR("{}"),
	    .total_timeout_ms = WAIT_MS};
	bool done = false;

	memset(type, 'a', LONG_TYPE_BYTES);
	type[LONG_TYPE_BYTES] = '\0';
	raw_server_play(&raw, answers_ok);
	CU_ASSERT_PTR_NOT_NULL_FATAL(ld_service_start(http, &rq, &ops, &done));
	for (int ms = 0; ms < WAIT_MS && !done; ms += 2)
		run_for(2);
	CU_ASSERT(done);
	CU_ASSERT(has_field(raw.last_request, "Content-Type", type));
	ld_http_free(http);
}

/* Seen in a review: "Content-Length : N" was no length, and the body was run as
 * another request. RFC 9112, section 5.1: 400. */
static void
test_malformed_fields_are_refused(void)
{
	static const char inner[] =
	    "POST /book/b HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: inner\r\n"
	    "Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n";
	static const char *const fields[] = {"Content-Length : %zu",
	    "Content-Length\t: %zu", "Transfer-Encoding : chunked",
	    "X-Tenant : other", "X A: b", "X(A): b", "X-A: b\rX-Tenant: other"};
	static const struct raw_step script[] = {
	    {0, 0,
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: outer\r\n"
		"X-Server-Signature: s\r\nContent-Length: 4\r\n\r\nbody",
		RAW_KEEP},
	    {0}};

	for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
		struct ld_buf head = {0};
		const struct answer *a;

		raw_server_play(&raw, script);
		ld_buf_printf(&head,
		    "POST /book/a HTTP/1.1\r\nHost: h\r\n"
		    "X-Attempt-Id: outer\r\nAuthorization: Bearer k1\r\n");
		ld_buf_printf(&head, fields[i], strlen(inner));
		ld_buf_printf(&head, "\r\n\r\n%s", inner);
		a = exchange(ld_buf_str(&head));
		CU_ASSERT_EQUAL(a->code, 400);
		/* One answer, and the connection ends. */
		CU_ASSERT_PTR_NULL(strstr(a->text + 1, "HTTP/1.1 "));
		CU_ASSERT_EQUAL(raw.requests, 0);
		if (a->code != 400)
			printf("\"%s\": code %d, %u requests sent\n", fields[i],
			    a->code, raw.requests);
		ld_buf_free(&head);
	}
}

static void
test_end(void)
{
	CU_ASSERT_EQUAL(kill(relay, SIGTERM), 0);
	run_for(5000);
	CU_ASSERT_EQUAL(waitpid(relay, NULL, WNOHANG), relay);
	raw_server_close(&raw);
}

int
main(int argc, char **argv)
{
	static const struct ld_test_case cases[] = {
	    {"many fields reach the server, with the node's own",
		test_many_fields_reach_the_server_with_ours},
	    {"any head within the limits is served",
		test_any_head_within_the_limits_is_served},
	    {"many fields of an answer reach the client",
		test_many_fields_of_an_answer_reach_the_client},
	    {"larger heads get a clear refusal",
		test_larger_heads_get_a_clear_refusal},
	    {"the largest heads of both", test_the_largest_heads_of_both},
	    {"a long content type reaches a service whole",
		test_a_long_content_type_reaches_a_service_whole},
	    {"malformed fields are refused", test_malformed_fields_are_refused},
	    {"the relay stops", test_end},
	    {NULL, NULL},
	};

	return relay_test_main(argv, "heads", cases);
}
