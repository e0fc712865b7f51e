/** Usage counters and the windows sealed from them. */
package org.marigoldmill.core.usage;
