/** Admission control: bounded queues with priority classes and fairness among organisations. */
package org.marigoldmill.core.admission;
