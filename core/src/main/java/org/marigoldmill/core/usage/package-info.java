/** Usage counters, and the usage windows computed from them. */
package org.marigoldmill.core.usage;
