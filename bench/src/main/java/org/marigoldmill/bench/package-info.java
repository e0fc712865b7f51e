/** Measurements that print their figures, baselines and ratios in one run. */
package org.marigoldmill.bench;
