/**
 * Deterministic simulation of engines and trainers in virtual time, with the scheduling policies of
 * {@code core} that entry instances use.
 *
 * <p>The same scenario, seed and policy give the same result on every run.
 */
package org.marigoldmill.bench.emulator;
