/** What the deployment's operators and engines say, and the ports that a platform implements. */
package org.marigoldmill.server.deployment;
