/** Soak of deployed instances in separate processes under random faults and planned work. */
package org.marigoldmill.cli.soak;
