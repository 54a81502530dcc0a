/*
 * Sockets of libcurl's open connections, to look at an idle one before a request
 * is written to it. libcurl reports only addresses at that moment.
 */
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_internal.h"

struct http_connection {
	struct http_connection *next;
	struct http_connection **pprev; /* the pointer to it in the bucket */
	curl_socket_t fd;
	struct http_path path;
};

static struct http_connection **
bucket(struct ld_http *h, int local_port)
{
	return &h->connections[(unsigned int)local_port %
	    HTTP_CONNECTION_BUCKETS];
}

static bool
is_same(const struct http_path *a, const struct http_path *b)
{
	return a->local_port == b->local_port &&
	    a->remote_port == b->remote_port &&
	    strcmp(a->local_ip, b->local_ip) == 0 &&
	    strcmp(a->remote_ip, b->remote_ip) == 0;
}

static int
local_port(curl_socket_t fd)
{
	/* The port of an IPv4 address has the same offset. */
	struct sockaddr_in6 a = {0};
	socklen_t len = sizeof(a);

	if (getsockname(fd, (struct sockaddr *)&a, &len) != 0)
		return -1;
	return ntohs(a.sin6_port);
}

void
http_connection_opened(
    struct ld_http *h, curl_socket_t fd, const struct http_path *path)
{
	struct http_connection *n, **first = bucket(h, path->local_port);

	/* Another one of several addresses was connected. */
	if (fd < 0 || local_port(fd) != path->local_port)
		return;
	if ((size_t)fd >= h->by_fd_count) {
		size_t count = 2 * (size_t)fd + 1;

		h->by_fd = ld_realloc(h->by_fd, count * sizeof(*h->by_fd));
		memset(h->by_fd + h->by_fd_count, 0,
		    (count - h->by_fd_count) * sizeof(*h->by_fd));
		h->by_fd_count = count;
	}
	n = ld_alloc(sizeof(*n));
	n->fd = fd;
	n->path = *path;
	n->next = *first;
	n->pprev = first;
	if (n->next != NULL)
		n->next->pprev = &n->next;
	*first = n;
	h->by_fd[fd] = n;
}

int
http_connection_close(void *user, curl_socket_t fd)
{
	struct ld_http *h = user;
	struct http_connection *n;

	if (fd >= 0 && (size_t)fd < h->by_fd_count && h->by_fd[fd] != NULL) {
		n = h->by_fd[fd];
		h->by_fd[fd] = NULL;
		*n->pprev = n->next;
		if (n->next != NULL)
			n->next->pprev = n->pprev;
		free(n);
	}
	return close(fd);
}

bool
http_connection_is_quiet(struct ld_http *h, const struct http_path *path)
{
	struct http_connection *n = *bucket(h, path->local_port);
	char byte;

	while (n != NULL && !is_same(&n->path, path))
		n = n->next;
	return n != NULL &&
	    recv(n->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	    (errno == EAGAIN || errno == EINTR);
}
