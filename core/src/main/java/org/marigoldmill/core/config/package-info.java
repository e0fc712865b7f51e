/** Reduction of the platform's log to the state that every process shares. */
package org.marigoldmill.core.config;
