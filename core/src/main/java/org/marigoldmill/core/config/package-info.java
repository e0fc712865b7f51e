/** Reduction of the log of the platform to the shared state, and validation of declarations. */
package org.marigoldmill.core.config;
