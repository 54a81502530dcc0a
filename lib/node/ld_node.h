/*
 * One node: every task of a serving process on one loop. Source: lib/node.
 */
#ifndef LD_NODE_H
#define LD_NODE_H

#include "ld_settings.h"

/**
 * ld_node_serve() - run a node until it is told to stop
 * @settings: must outlive the call
 *
 * SIGTERM and SIGINT drain: the node reports that it isn't ready, takes
 * requests for entry.drain_notice_ms more, finishes all of them, and returns.
 * Further signals change nothing.
 *
 * Return: LD_OK after a drain, LD_E_IO when an address can't be bound.
 */
enum ld_status ld_node_serve(const struct ld_settings *settings);

#endif
