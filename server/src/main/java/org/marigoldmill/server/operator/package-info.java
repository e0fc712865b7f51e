/** HTTP endpoints for operators: metrics, health, state, publishing and drain. */
package org.marigoldmill.server.operator;
