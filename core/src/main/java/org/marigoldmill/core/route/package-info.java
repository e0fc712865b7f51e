/** Configuration of a deployment: routes, services and API keys, and the selection of a route. */
package org.marigoldmill.core.route;
