/** Usage counters of the entry instances and their exchange between peers. */
package org.marigoldmill.server.usage;
