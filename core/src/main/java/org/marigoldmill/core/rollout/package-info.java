/** Assembly of a job's steps from generated groups. */
package org.marigoldmill.core.rollout;
