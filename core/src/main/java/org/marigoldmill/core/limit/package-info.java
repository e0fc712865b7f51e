/**
 * Request limits that engines name in their answers: what is known of them, and the part of one
 * limit that each instance may use. Cold engines have a limit of their service while they warm up.
 */
package org.marigoldmill.core.limit;
