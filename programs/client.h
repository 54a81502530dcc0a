/* Calls to the operators' listeners of nodes, one after another. */
#ifndef CLIENT_H
#define CLIENT_H

#include <argp.h>

#include "ld_common.h"

#define CLIENT_NODES_MAX 512

/** struct client - which nodes to ask, and with what */
struct client {
	char *nodes[CLIENT_NODES_MAX]; /* "IP:PORT" of operators' listeners */
	size_t node_count;
	char *token;
	bool json;
};

/** Options shared by the commands that ask nodes; input: struct client. */
extern const struct argp client_argp;
extern const struct argp_child client_children[];

void client_fini(struct client *c);

/** struct client_answer - @status LD_OK when an answer came, @code its HTTP */
struct client_answer {
	enum ld_status status;
	long code;
	struct ld_buf body;
};

/**
 * client_call() - one call to one node, waits for its answer
 * @header: one more header line, or NULL
 */
void client_call(const struct client *c, const char *node, const char *method,
    const char *path, const char *header, struct ld_str body,
    struct client_answer *out);
void client_answer_fini(struct client_answer *a);

/**
 * client_succeeded() - whether the answer is a 2xx
 *
 * Prints on standard error what went wrong otherwise: the problem's title
 * and detail.
 */
bool client_succeeded(const char *node, const struct client_answer *a);

/** read_file() - whole content; LD_E_IO */
enum ld_status read_file(const char *path, struct ld_buf *out);

#endif
