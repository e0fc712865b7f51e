/**
 * Engines and trainers in virtual time, driven by the policies of {@code core} that instances use.
 *
 * <p>Answers of the same scenario, seed and policy are the same on every run.
 */
package org.marigoldmill.bench.emulator;
