/** Benchmarks that measure their figures, and their baselines if any, in one run. */
package org.marigoldmill.bench;
