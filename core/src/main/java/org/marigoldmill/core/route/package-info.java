/** Routes, services and keys of a deployment, and the choice of a route for a request. */
package org.marigoldmill.core.route;
