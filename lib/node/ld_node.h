/*
 * One node: all tasks of a serving process on one event loop.
 * Source: lib/node.
 */
#ifndef LD_NODE_H
#define LD_NODE_H

#include "ld_settings.h"

/**
 * ld_node_serve() - run a node until it is drained
 * @settings: must outlive the call
 *
 * SIGTERM and SIGINT start a drain: the node reports that it isn't ready,
 * accepts requests for another entry.drain_notice_ms, completes all open
 * requests and returns. Further signals have no effect.
 *
 * Return: LD_OK after a drain, LD_E_IO when an address can't be bound.
 */
enum ld_status ld_node_serve(const struct ld_settings *settings);

#endif
