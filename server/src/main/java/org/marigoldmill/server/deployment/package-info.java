/** Deployment configuration, the engine registry, and the ports that a platform implements. */
package org.marigoldmill.server.deployment;
