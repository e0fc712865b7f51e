/** What operators see: metrics, health, state, drain. */
package org.marigoldmill.server.operator;
