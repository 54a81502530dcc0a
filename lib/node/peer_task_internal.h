/* Shared by peer_task.c, peer_conn.c and peer_listen.c. */
#ifndef LD_PEER_TASK_INTERNAL_H
#define LD_PEER_TASK_INTERNAL_H

#include <ev.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "ld_wire.h"
#include "peer_task.h"

/** struct peer_addr - a parsed "IP:PORT" */
struct peer_addr {
	struct sockaddr_storage sa;
	socklen_t len;
};

enum peer_conn_state {
	CONN_CONNECTING,
	CONN_HELLO,
	CONN_OPEN
};

/** struct peer_conn - one TCP connection; fd is -1 after it is closed */
struct peer_conn {
	struct peer_conn *next;
	struct ld_peer_task *task;
	ev_io reader;
	ev_io writer;
	struct ld_timer deadline; /* of the handshake */
	enum peer_conn_state state;
	int fd;
	bool dialled;
	uint32_t link; /* id of the link in lib/peers, 0: none yet */
	struct ld_wire_session *session;
	struct ld_fifo in;
	struct ld_fifo out;
};

struct ld_peer_task {
	struct ld_task task;
	struct ld_loop *loop;
	struct ld_timer tick;
	struct ld_peer_task_ops ops;
	void *arg;
	struct ld_peers *peers;
	uint64_t incarnation;
	struct ld_buf key;
	struct ld_rand rand;
	struct peer_addr local;
	int listener;
	ev_io acceptor;
	struct peer_conn *conns;
	size_t conn_count;
	struct ld_buf payload; /* scratch */
	bool actions_posted; /* a message to perform actions is queued */
	struct ld_peer_task_counters counters;
};

/* ---- peer_listen.c ---- */

enum ld_status peer_addr_parse(struct ld_str s, struct peer_addr *out);
enum ld_status peer_listen(struct ld_peer_task *t, struct ld_str address);
/** peer_accept_resume() - accept again after lack of descriptors or memory */
void peer_accept_resume(struct ld_peer_task *t);
/** peer_dial() - start connecting; reports an immediate failure to lib/peers */
void peer_dial(struct ld_peer_task *t, uint32_t link, struct ld_str address);

/* ---- peer_conn.c ---- */

/** peer_conn_new() - take ownership of socket @fd, start the handshake timer */
struct peer_conn *peer_conn_new(struct ld_peer_task *t, int fd, bool dialled);
struct peer_conn *peer_conn_find(const struct ld_peer_task *t, uint32_t link);
/** peer_conn_send() - append an authenticated frame to the output queue */
void peer_conn_send(struct peer_conn *c, struct ld_str payload);
/** peer_conn_close() - close the socket; peer_conns_reap() frees @c later */
void peer_conn_close(struct peer_conn *c);
/** peer_conns_flush() - write queued output until the sockets would block */
void peer_conns_flush(struct ld_peer_task *t);
/** peer_conns_reap() - free closed connections */
void peer_conns_reap(struct ld_peer_task *t);

/* ---- peer_task.c ---- */

/** peer_task_perform_actions() - also writes output and sets the timer */
void peer_task_perform_actions(struct ld_peer_task *t);

#endif
